//! Losses of a sibling that only one side has noticed. No task may run twice at the same time.

mod simulation;

use kqr_dispatch::{EndKind, Input, JobEnd};
use simulation::{Simulation, TaskBehaviour, id, job, target_id};

const LONG: TaskBehaviour = TaskBehaviour {
    run_ms: 3_000,
    end: EndKind::Done,
    hangs: false,
};

/// Starts a job of entry 0 whose tasks run at both entries.
fn simulation_with_a_run_at_a_sibling(behaviour: TaskBehaviour) -> Simulation {
    let mut sim = Simulation::new(3, 3, behaviour);
    sim.submit(0, job("spread", 4, behaviour.run_ms));
    sim.run_for(20);
    let is_at_sibling = !sim.targets[&target_id(1)].running.is_empty();
    assert!(is_at_sibling, "a task runs at entry 1");
    sim
}

#[test]
fn an_owner_whose_deliveries_are_repeated_keeps_no_order_of_a_coordinator_that_lost_it() {
    for phase in 0..13 {
        let mut sim = simulation_with_a_run_at_a_sibling(LONG);
        sim.run_for(phase * 10);
        sim.lost_answers.push((1, 0));
        sim.run_for(450);
        sim.lost_answers.clear();
        sim.run_for(2_500);
        assert!(
            sim.duplicate_runs.is_empty(),
            "phase {phase}: {:?}\n{}",
            sim.duplicate_runs,
            sim.decisions.join("\n")
        );
    }
}

#[test]
fn an_order_delivered_after_its_coordinator_lost_the_owner_is_not_run() {
    for case in 0..72 {
        let (phase_ms, cut_ms, delay_ms) = (70 + case % 6 * 10, 350 + case / 6 % 4 * 20, 5 + case / 24 * 10);
        let mut sim = Simulation::new(3, 3, LONG);
        sim.delays.insert((0, 1), delay_ms);
        sim.run_for(200 + phase_ms);
        sim.cut_paths.push((1, 0));
        sim.run_for(340);
        sim.submit(0, job("late", 4, 3_000));
        sim.run_for(cut_ms - 340);
        sim.cut_paths.clear();
        sim.run_for(2_500);
        assert!(
            sim.duplicate_runs.is_empty(),
            "phase {phase_ms} ms, cut of {cut_ms} ms, delay of {delay_ms} ms: {:?}\n{}",
            sim.duplicate_runs,
            sim.decisions.join("\n")
        );
    }
}

#[test]
fn a_job_completes_after_its_owner_lost_a_coordinator_that_did_not_notice() {
    let mut sim = simulation_with_a_run_at_a_sibling(TaskBehaviour { run_ms: 600, ..LONG });
    sim.lost_answers.push((0, 1));
    sim.run_for(450);
    sim.lost_answers.clear();
    sim.run_for(2_500);
    assert_eq!(
        sim.end_of("spread"),
        Some(&JobEnd::Completed),
        "{}",
        sim.decisions.join("\n")
    );
}

#[test]
fn an_order_of_a_restarted_coordinator_is_not_taken_for_one_dropped_before_its_restart() {
    let mut sim = simulation_with_a_run_at_a_sibling(LONG);
    sim.kill(0);
    sim.run_for(50);
    sim.restart(0);
    sim.publish_views();
    sim.run_for(1_000);
    sim.inject(1, Input::LinkLost { sibling: id(0) });
    sim.submit(0, job("restarted", 4, 3_000));
    sim.run_for(2_500);
    assert!(
        sim.duplicate_runs.is_empty(),
        "{:?}\n{}",
        sim.duplicate_runs,
        sim.decisions.join("\n")
    );
}
