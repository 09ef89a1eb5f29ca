//! Tasks that crash the targets that start them, beside sound ones.

mod simulation;

use std::{sync::Arc, time::Duration};

use kqr_dispatch::{EndKind, JobEnd, JobRequest};
use simulation::{Simulation, TaskBehaviour, job, target::CRASHING};

const QUICK: TaskBehaviour = TaskBehaviour {
    run_ms: 100,
    end: EndKind::Done,
    hangs: false,
};

/// Returns a job of one task that crashes its targets, whose caller waits for long.
fn crashing_job(key: &str) -> JobRequest {
    JobRequest {
        spec: Arc::from(CRASHING),
        time_left: Duration::from_secs(20),
        ..job(key, 1, 100)
    }
}

fn crashes(sim: &Simulation) -> usize {
    sim.targets.values().map(|target| target.crashes).sum()
}

/// A run that was lost with its target was repeated without a bound until its job ended by time.
#[test]
fn a_task_that_crashes_its_targets_is_given_up_after_two_of_them() {
    let mut sim = Simulation::new(2, 8, QUICK);
    sim.submit(0, crashing_job("crashing"));
    sim.run_for(12_000);
    assert_eq!(sim.end_of("crashing"), Some(&JobEnd::Failed));
    assert_eq!(crashes(&sim), 2);
}

/// Tasks that ran beside a crashing one were repeated beside it, and were lost with the next target as well.
#[test]
fn sound_tasks_that_ran_beside_a_crashing_one_complete() {
    let mut sim = Simulation::new(2, 4, QUICK);
    sim.submit(0, crashing_job("crashing"));
    for number in 0..8 {
        let sound = JobRequest {
            time_left: Duration::from_secs(20),
            ..job(&format!("sound-{number}"), 1, 100)
        };
        sim.submit(number % 2, sound);
    }
    sim.run_for(12_000);
    for number in 0..8 {
        let end = sim.end_of(&format!("sound-{number}"));
        assert_eq!(end, Some(&JobEnd::Completed), "sound-{number}");
    }
    assert_eq!(sim.end_of("crashing"), Some(&JobEnd::Failed));
    assert_eq!(crashes(&sim), 2);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}

/// The second entry did not know which targets the task had crashed, so that each try had its own bound.
#[test]
fn a_second_try_at_another_entry_continues_the_count_of_crashed_targets() {
    let mut sim = Simulation::new(3, 9, QUICK);
    sim.submit(0, crashing_job("crashing"));
    sim.run_for(1_000);
    assert_eq!(crashes(&sim), 2);
    // The entry has seen the loss of the first target only.
    sim.kill(0);
    sim.run_for(2_000);
    sim.submit(1, crashing_job("crashing"));
    sim.run_for(12_000);
    assert_eq!(sim.end_of("crashing"), Some(&JobEnd::Failed));
    assert!(crashes(&sim) <= 3, "{} crashes", crashes(&sim));
}
