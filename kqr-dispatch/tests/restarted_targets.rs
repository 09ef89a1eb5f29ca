//! Targets that start again under their identity as another kind, with other labels and another capacity.

mod simulation;

use std::time::Duration;

use kqr_dispatch::{EndKind, Input, JobEnd, JobRequest, LoadShedding, Options};
use kqr_fleet::{Resources, TargetRecord, TargetReport};
use kqr_types::{Incarnation, Instant};
use simulation::{Simulation, TaskBehaviour, job, target_id};

const QUICK: TaskBehaviour = TaskBehaviour {
    run_ms: 80,
    end: EndKind::Done,
    hangs: false,
};
/// Label of the first life of target 0, and of no later one.
const LABEL: &str = "b";
const TASK_MILLI: u64 = 6_800;

fn labelled_job(key: &str) -> JobRequest {
    let mut request = job(key, 1, 80);
    request.steps[0].label = Some(LABEL.to_owned());
    request.time_left = Duration::from_secs(5);
    request
}

/// An owner of two targets, both of which have the label.
fn fleet() -> Simulation {
    // More jobs arrive than the one target with the label serves; they are not to be refused for that.
    let options = Options {
        load_shedding: LoadShedding::AtDeadline,
        ..Options::default()
    };
    let mut sim = Simulation::with_options(2, 2, QUICK, options);
    for number in 0..2 {
        let target = sim.targets.get_mut(&target_id(number)).unwrap();
        target.record.labels = vec![LABEL.to_owned()];
        sim.grant_target(number, 0);
    }
    sim.publish_views();
    sim.run_for(1_500);
    sim
}

/// Restarts target 0 as another kind. Control does not know it yet.
fn restart_as(sim: &mut Simulation, label: &str, cpu_milli: u64) -> TargetRecord {
    sim.restart_target(0);
    let target = sim.targets.get_mut(&target_id(0)).unwrap();
    target.record.labels = vec![label.to_owned()];
    target.record.capacity.cpu_milli = cpu_milli;
    target.record.clone()
}

/// Starts of target 0 in its present life.
fn starts(sim: &Simulation) -> usize {
    let target = &sim.targets[&target_id(0)];
    target.specs.len()
}

fn submit_labelled_jobs(sim: &mut Simulation, key: &str) {
    for number in 0..30 {
        sim.submit(number % 2, labelled_job(&format!("{key}-{number}")));
        sim.run_for(20);
    }
}

/// The owner kept the labels of the former life until the next grant, and started tasks there that need them.
#[test]
fn a_target_that_restarts_without_a_label_gets_no_task_that_needs_it() {
    for silence in [0, 300, 1_500] {
        let mut sim = fleet();
        sim.submit(0, labelled_job("before"));
        sim.run_for(10);
        let id = target_id(0);
        sim.targets.get_mut(&id).unwrap().is_up = false;
        sim.run_for(silence + 200);
        restart_as(&mut sim, "a", 16_000);
        submit_labelled_jobs(&mut sim, "needs-b");
        assert_eq!(
            starts(&sim),
            0,
            "down for {silence} ms\n{}",
            sim.decisions.join("\n")
        );
        sim.grant_target(0, 0);
        sim.publish_views();
        submit_labelled_jobs(&mut sim, "still-needs-b");
        assert_eq!(starts(&sim), 0);
        sim.submit(0, job("any", 4, 80));
        sim.run_for(1_000);
        assert!(starts(&sim) > 0, "tasks that fit its new kind run there");
        for key in ["needs-b-29", "still-needs-b-29", "any"] {
            assert_eq!(sim.end_of(key), Some(&JobEnd::Completed), "{key}");
        }
    }
}

/// The capacity of the former life was kept in the same way, beyond that of the new one.
#[test]
fn a_target_that_restarts_smaller_gets_nothing_beyond_its_capacity() {
    let mut sim = fleet();
    sim.targets.get_mut(&target_id(0)).unwrap().is_up = false;
    sim.run_for(500);
    restart_as(&mut sim, LABEL, TASK_MILLI);
    for number in 0..100 {
        sim.submit(0, job(&format!("job-{number}"), 2, 80));
        sim.run_for(5);
        let running = sim.targets[&target_id(0)].running.len() as u64;
        assert!(running * TASK_MILLI <= TASK_MILLI, "{running} runs");
        if number == 50 {
            sim.grant_target(0, 0);
            sim.publish_views();
        }
    }
    sim.run_for(1_500);
    assert!(starts(&sim) > 0);
}

/// The owner learns of the new life from its first report, before a poll is answered.
#[test]
fn a_report_of_the_next_life_closes_the_former_one() {
    let mut sim = fleet();
    // Polls of the new life get no answer yet.
    sim.cut_target_links.push((0, target_id(0)));
    let record = restart_as(&mut sim, "a", 16_000);
    let report = TargetReport::Present {
        record,
        sequence: 1,
        is_leaving: false,
    };
    sim.inject(0, Input::TargetReported(report));
    for number in 0..12 {
        sim.submit(0, labelled_job(&format!("needs-b-{number}")));
    }
    sim.run_for(2);
    let ordered = sim.decisions.iter();
    let started = ordered.filter(|line| line.contains("RunStarted") && line.contains("target: target-0"));
    assert_eq!(started.count(), 0, "{}", sim.decisions.join("\n"));
    assert_eq!(sim.take_reports(0).len(), 1, "control has to grant the new life");
}

/// A new life whose clock was set back seems older than the former one, whose reports control would prefer for ever.
#[test]
fn control_is_told_that_a_target_is_lost_whose_next_life_seems_older() {
    let mut sim = fleet();
    let record = restart_as(&mut sim, LABEL, 16_000);
    let target = sim.targets.get_mut(&target_id(0)).unwrap();
    target.record = TargetRecord {
        life: Incarnation(0),
        ..record
    };
    sim.run_for(500);
    let unreachable = sim.dispatcher(0).unreachable_targets(Instant(sim.now * 1000));
    let lost: Vec<_> = unreachable.into_iter().map(|(id, _)| id).collect();
    assert_eq!(lost, [target_id(0)]);
    submit_labelled_jobs(&mut sim, "needs-b");
    assert_eq!(starts(&sim), 0);
}

#[test]
fn runs_of_the_former_life_are_ordered_again_elsewhere() {
    let mut sim = fleet();
    sim.submit(0, labelled_job("lost"));
    sim.submit(0, labelled_job("kept"));
    sim.run_for(10);
    restart_as(&mut sim, "a", 16_000);
    sim.run_for(2_000);
    for key in ["lost", "kept"] {
        assert_eq!(sim.end_of(key), Some(&JobEnd::Completed), "{key}");
    }
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}

/// A draining of the former life says nothing about the next one.
#[test]
fn a_target_that_restarts_while_it_leaves_gets_tasks_again_when_it_is_granted() {
    let mut sim = fleet();
    let record = sim.targets[&target_id(0)].record.clone();
    let leaving = TargetReport::Present {
        record,
        sequence: 5,
        is_leaving: true,
    };
    sim.inject(0, Input::TargetReported(leaving));
    let record = restart_as(&mut sim, LABEL, 16_000);
    assert_eq!(
        record.capacity,
        Resources {
            cpu_milli: 16_000,
            ..record.capacity
        }
    );
    sim.run_for(300);
    sim.grant_target(0, 0);
    sim.publish_views();
    sim.run_for(300);
    sim.submit(0, job("any", 4, 80));
    sim.run_for(500);
    assert!(starts(&sim) > 0);
}
