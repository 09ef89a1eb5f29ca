//! Entries that are cut off from all other processes. No task may run twice at the same time.

mod simulation;

use kqr_dispatch::{EndKind, GiveUp, JobEnd};
use simulation::{Simulation, TaskBehaviour, job, target_id};

const LONG: TaskBehaviour = TaskBehaviour {
    run_ms: 900,
    end: EndKind::Done,
    hangs: false,
};

/// Cuts entry 0 off from entry 1 and from both targets.
fn isolate(sim: &mut Simulation) {
    sim.cut_links.push((0, 1));
    for target in 0..2 {
        sim.cut_target_links.push((0, target_id(target)));
    }
}

fn reconnect(sim: &mut Simulation) {
    sim.cut_links.clear();
    sim.cut_target_links.clear();
}

#[test]
fn an_entry_orders_no_task_of_a_caller_that_left_while_it_was_isolated() {
    let mut sim = Simulation::new(2, 2, LONG);
    sim.submit(0, job("isolated", 2, 900));
    sim.run_for(100);
    isolate(&mut sim);
    sim.run_for(1_300);
    // The caller submits the job to the other entry.
    sim.submit(1, job("isolated", 2, 900));
    sim.run_for(100);
    reconnect(&mut sim);
    sim.run_for(3_000);
    assert!(
        sim.duplicate_runs.is_empty(),
        "{:?}\n{}",
        sim.duplicate_runs,
        sim.decisions.join("\n")
    );
    let ends = &sim.ends["isolated"];
    assert!(ends.contains(&(0, JobEnd::GivenUp(GiveUp::Isolated))), "{ends:?}");
    assert!(ends.contains(&(1, JobEnd::Completed)), "{ends:?}");
}

#[test]
fn an_entry_keeps_its_jobs_during_a_short_isolation() {
    let mut sim = Simulation::new(2, 2, LONG);
    sim.submit(0, job("short", 2, 900));
    sim.run_for(100);
    isolate(&mut sim);
    sim.run_for(300);
    reconnect(&mut sim);
    sim.run_for(2_500);
    assert_eq!(
        sim.end_of("short"),
        Some(&JobEnd::Completed),
        "{}",
        sim.decisions.join("\n")
    );
}
