//! Targets whose capacity shrinks and grows again while they run tasks, and which do not enforce it themselves.

mod simulation;

use std::time::Duration;

use kqr_dispatch::{EndKind, Input, JobEnd, JobRequest, LoadShedding, Options};
use kqr_fleet::{Resources, TargetReport};
use simulation::{Simulation, TaskBehaviour, job, target_id};

const LONG: TaskBehaviour = TaskBehaviour {
    run_ms: 400,
    end: EndKind::Done,
    hangs: false,
};
/// Capacity of the simulated targets, and the need of a task.
const FULL_MILLI: u64 = 16_000;
const TASK_MILLI: u64 = 6_800;

fn job_of_one(number: usize) -> JobRequest {
    JobRequest {
        time_left: Duration::from_secs(20),
        ..job(&format!("job-{number}"), 1, 400)
    }
}

/// One target, which is offered more than it serves at once: jobs are not to be refused for that.
fn simulation() -> Simulation {
    let options = Options {
        load_shedding: LoadShedding::AtDeadline,
        ..Options::default()
    };
    Simulation::with_options(1, 1, LONG, options)
}

/// Changes the capacity of target 0 and returns its report with the given sequence number.
fn resize(sim: &mut Simulation, cpu_milli: u64, sequence: u64) -> TargetReport {
    let target = sim.targets.get_mut(&target_id(0)).unwrap();
    target.record.capacity = Resources {
        cpu_milli,
        ..target.record.capacity
    };
    TargetReport::Present {
        record: target.record.clone(),
        sequence,
        is_leaving: false,
    }
}

fn running(sim: &Simulation) -> u64 {
    sim.targets[&target_id(0)].running.len() as u64
}

#[test]
fn runs_continue_on_a_target_whose_capacity_shrinks_below_them() {
    let mut sim = simulation();
    for number in 0..2 {
        sim.submit(0, job_of_one(number));
    }
    sim.run_for(100);
    assert_eq!(running(&sim), 2);
    let report = resize(&mut sim, TASK_MILLI, 1);
    sim.inject(0, Input::TargetReported(report));
    sim.run_for(1_000);
    let starts = sim.targets[&target_id(0)].starts.len();
    assert_eq!(starts, 2, "a run was stopped and repeated");
    for number in 0..2 {
        let end = sim.end_of(&format!("job-{number}"));
        assert_eq!(end, Some(&JobEnd::Completed));
    }
}

/// The owner learned of the change only with the next grant, under a new token.
#[test]
fn nothing_is_started_beyond_the_capacity_that_a_target_reports_last() {
    let mut sim = simulation();
    let reports = [resize(&mut sim, FULL_MILLI, 1), resize(&mut sim, TASK_MILLI, 2)];
    let [outdated, latest] = reports;
    sim.inject(0, Input::TargetReported(latest));
    sim.inject(0, Input::TargetReported(outdated));
    for number in 0..6 {
        sim.submit(0, job_of_one(number));
    }
    for _ in 0..100 {
        sim.run_for(10);
        assert!(running(&sim) <= 1, "{} ms: {} runs", sim.now, running(&sim));
    }
    let report = resize(&mut sim, FULL_MILLI, 3);
    sim.inject(0, Input::TargetReported(report));
    sim.run_for(100);
    assert_eq!(running(&sim), 2);
    sim.run_for(4_000);
    for number in 0..6 {
        let end = sim.end_of(&format!("job-{number}"));
        assert_eq!(end, Some(&JobEnd::Completed), "job-{number}");
    }
}

/// A grant of the same token carries the capacity that the target has reported to another instance.
#[test]
fn a_grant_changes_the_capacity_without_a_stop() {
    let mut sim = simulation();
    sim.submit(0, job_of_one(0));
    sim.run_for(100);
    resize(&mut sim, TASK_MILLI, 1);
    sim.publish_views();
    sim.submit(0, job_of_one(1));
    sim.run_for(100);
    assert_eq!(running(&sim), 1, "the second task does not fit");
    sim.run_for(1_500);
    assert_eq!(sim.targets[&target_id(0)].starts.len(), 2);
    for number in 0..2 {
        let end = sim.end_of(&format!("job-{number}"));
        assert_eq!(end, Some(&JobEnd::Completed));
    }
}
