//! Orders that fit on no target at present, ahead of orders that do.

mod simulation;

use kqr_dispatch::{EndKind, JobEnd};
use simulation::{Simulation, TaskBehaviour, job};

const LONG_MS: u64 = 1_200;
const SHORT_MS: u64 = 30;
/// More waiting tasks than a pass over the queue skipped before it ended.
const BLOCKED_TASKS: u32 = 30;

fn behaviour(run_ms: u64) -> TaskBehaviour {
    TaskBehaviour {
        run_ms,
        end: EndKind::Done,
        hangs: false,
    }
}

/// Starts a task of 9 of the 16 cores on each of two targets, which takes long. Later tasks are short.
fn half_occupied() -> Simulation {
    let mut sim = Simulation::new(1, 2, behaviour(LONG_MS));
    let mut long = job("long", 2, LONG_MS);
    long.steps[0].needs.cpu_milli = 9_000;
    long.steps[0].max_per_target = Some(1);
    sim.submit(0, long);
    sim.run_for(20);
    for target in sim.targets.values_mut() {
        target.behaviour = behaviour(SHORT_MS);
    }
    sim
}

/// The pass over the queue ended after 24 tasks that fitted nowhere, so that free capacity stayed unused until the long
/// runs had ended.
#[test]
fn large_tasks_do_not_hide_small_ones() {
    let mut sim = half_occupied();
    let mut large = job("large", BLOCKED_TASKS, SHORT_MS);
    large.steps[0].needs.cpu_milli = 16_000;
    sim.submit(0, large);
    let mut small = job("small", 4, SHORT_MS);
    small.priority = 1;
    small.steps[0].needs.cpu_milli = 3_000;
    sim.submit(0, small);
    sim.run_for(200);
    assert_eq!(sim.end_of("small"), Some(&JobEnd::Completed));
    assert_eq!(sim.end_of("large"), None);
}

#[test]
fn tasks_for_a_label_do_not_hide_others() {
    let mut sim = half_occupied();
    for number in 0..BLOCKED_TASKS {
        let mut labelled = job(&format!("labelled-{number}"), 1, SHORT_MS);
        labelled.steps[0].needs.cpu_milli = 10_000 + u64::from(number);
        labelled.steps[0].label = Some("a".to_owned());
        sim.submit(0, labelled);
    }
    let mut unlabelled = job("unlabelled", 2, SHORT_MS);
    unlabelled.steps[0].needs.cpu_milli = 7_000;
    sim.submit(0, unlabelled);
    sim.run_for(200);
    assert_eq!(sim.end_of("unlabelled"), Some(&JobEnd::Completed));
}
