//! Jobs that are larger than their limits allow, or that say more than a count of 32 bits holds.

mod simulation;

use std::{sync::Arc, time::Duration};

use kqr_dispatch::{EndKind, Input, JobEnd, JobLimits, JobRequest, Options, RefusalCause, StepSpec};
use kqr_fleet::{Resources, TargetRecord};
use simulation::{Simulation, TaskBehaviour, job};

/// Time without a message after which siblings count an entry as lost.
const MAX_INPUT_TIME: Duration = Duration::from_millis(400);

const BEHAVIOUR: TaskBehaviour = TaskBehaviour {
    run_ms: 30,
    end: EndKind::Done,
    hangs: false,
};

fn step(count: u32, cpu_milli: u64, memory_mib: u64, depends_on: Vec<u32>) -> StepSpec {
    let needs = Resources {
        cpu_milli,
        memory_mib,
        accelerators: 0,
    };
    StepSpec {
        count,
        needs,
        depends_on,
        ..job("template", 1, 30).steps.remove(0)
    }
}

fn job_of(key: &str, steps: Vec<StepSpec>) -> JobRequest {
    JobRequest {
        steps,
        ..job(key, 1, 30)
    }
}

fn refusal(sim: &Simulation, key: &str) -> Option<RefusalCause> {
    match sim.end_of(key) {
        Some(JobEnd::Refused { cause, .. }) => Some(*cause),
        _ => None,
    }
}

/// Submits a job, checks that it is refused at once as too large, and that the entry serves another one.
fn assert_refused(sim: &mut Simulation, request: JobRequest) {
    let key = request.key.to_string();
    sim.submit(0, request);
    assert_eq!(refusal(sim, &key), Some(RefusalCause::TooLarge), "{key}");
    assert!(
        sim.longest_input < MAX_INPUT_TIME,
        "{key}: {:?}",
        sim.longest_input
    );
}

/// Guards against a job of many tasks without needs that held up its entry for a minute before it was refused.
#[test]
fn a_count_of_32_bits_does_not_hold_up_the_entry_whatever_its_needs() {
    let mut sim = Simulation::new(2, 3, BEHAVIOUR);
    for (number, (cpu, memory)) in [(0, 0), (0, 1), (1, 0)].into_iter().enumerate() {
        let steps = vec![step(u32::MAX, cpu, memory, Vec::new())];
        assert_refused(&mut sim, job_of(&format!("wide-{number}"), steps));
    }
    sim.submit(0, job("ordinary", 4, 30));
    sim.run_for(200);
    assert_eq!(sim.end_of("ordinary"), Some(&JobEnd::Completed));
}

/// Guards against an estimate of the wait whose time grows with the number of tasks, if the limit allows that many.
#[test]
fn the_expected_wait_of_many_tasks_takes_no_time_for_each() {
    let options = Options {
        job_limits: JobLimits {
            tasks: u64::MAX,
            ..JobLimits::default()
        },
        ..Options::default()
    };
    let mut sim = Simulation::with_options(2, 3, BEHAVIOUR, options);
    for (number, (cpu, memory)) in [(0, 0), (0, 1), (1, 0), (1, 1)].into_iter().enumerate() {
        let key = format!("wide-{number}");
        let steps = vec![step(u32::MAX, cpu, memory, Vec::new())];
        sim.submit(0, job_of(&key, steps));
        assert_eq!(refusal(&sim, &key), Some(RefusalCause::TooManyTasks), "{key}");
        assert!(
            sim.longest_input < MAX_INPUT_TIME,
            "{key}: {:?}",
            sim.longest_input
        );
    }
}

/// Counts that fit in 32 bits may have a sum that does not, which must not pass a limit.
#[test]
fn counts_whose_sum_exceeds_32_bits_are_refused() {
    let mut sim = Simulation::new(1, 2, BEHAVIOUR);
    let steps = vec![step(1 << 31, 1, 1, Vec::new()), step(1 << 31, 1, 1, Vec::new())];
    assert_refused(&mut sim, job_of("twice", steps));
    let steps = (0..250).map(|_| step(u32::MAX, 0, 0, Vec::new())).collect();
    assert_refused(&mut sim, job_of("often", steps));
}

#[test]
fn a_job_is_served_up_to_each_limit_and_refused_beyond_it() {
    let limits = JobLimits::default();
    let mut sim = Simulation::new(1, 8, BEHAVIOUR);
    let mut long_time = |request: JobRequest| {
        let key = request.key.to_string();
        sim.submit(
            0,
            JobRequest {
                time_left: Duration::from_secs(60),
                objective: Duration::from_secs(60),
                ..request
            },
        );
        sim.run_for(5_000);
        assert_eq!(sim.end_of(&key), Some(&JobEnd::Completed), "{key}");
    };
    long_time(job_of(
        "tasks",
        vec![step(limits.tasks as u32, 10, 1, Vec::new())],
    ));
    let steps = (0..limits.steps).map(|_| step(1, 10, 1, Vec::new()));
    long_time(job_of("steps", steps.collect()));
    let mut steps = vec![
        step(1, 10, 1, Vec::new()),
        step(1, 10, 1, vec![0; limits.dependencies]),
    ];
    long_time(job_of("dependencies", steps.clone()));
    let spec = "x".repeat(limits.spec_bytes);
    long_time(JobRequest {
        spec: Arc::from(spec.as_str()),
        ..job("spec", 1, 30)
    });

    assert_refused(
        &mut sim,
        job_of(
            "more-tasks",
            vec![step(limits.tasks as u32 + 1, 10, 1, Vec::new())],
        ),
    );
    let more_steps = (0..=limits.steps).map(|_| step(0, 10, 1, Vec::new()));
    assert_refused(&mut sim, job_of("more-steps", more_steps.collect()));
    steps.push(step(0, 10, 1, vec![1]));
    assert_refused(&mut sim, job_of("more-dependencies", steps));
    let spec = spec + "x";
    assert_refused(
        &mut sim,
        JobRequest {
            spec: Arc::from(spec.as_str()),
            ..job("larger-spec", 1, 30)
        },
    );
    let mut labelled = job("longer-label", 1, 30);
    labelled.steps[0].label = Some("x".repeat(TargetRecord::MAX_LABEL_BYTES + 1));
    assert_refused(&mut sim, labelled);
}

/// Guards against the end of a live job that is told to its callers because a second request for it is refused.
#[test]
fn a_live_job_is_not_ended_by_an_oversized_request_with_its_key() {
    let mut sim = Simulation::new(1, 2, BEHAVIOUR);
    sim.submit(0, job("shared", 2, 30));
    sim.inject(0, Input::Submit(job("shared", u32::MAX, 30)));
    assert_eq!(sim.end_of("shared"), None);
    sim.run_for(200);
    assert_eq!(sim.end_of("shared"), Some(&JobEnd::Completed));
}

/// Guards against names of racks that take memory in each order, or stay in the index of racks, although no target has them.
#[test]
fn a_rack_with_a_longer_name_than_any_label_is_ignored() {
    let mut sim = Simulation::new(2, 4, BEHAVIOUR);
    for (key, length) in [
        ("longest", TargetRecord::MAX_LABEL_BYTES),
        ("longer", TargetRecord::MAX_LABEL_BYTES + 1),
        ("huge", 262_000),
    ] {
        let mut request = job(key, 8, 30);
        request.steps[0].data_rack = Some("x".repeat(length));
        sim.submit(0, request);
        sim.run_for(400);
        assert_eq!(sim.end_of(key), Some(&JobEnd::Completed), "{key}");
        let started = sim
            .decisions
            .iter()
            .find(|line| line.contains("RunStarted") && line.contains(key));
        let has_rack = length <= TargetRecord::MAX_LABEL_BYTES;
        assert_eq!(started.unwrap().contains("NoRack"), !has_rack, "{started:?}");
    }
}
