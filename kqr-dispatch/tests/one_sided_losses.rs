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
    // The clock of the restarted entry may have been set back.
    for incarnation in [2, 0] {
        let mut sim = simulation_with_a_run_at_a_sibling(LONG);
        sim.kill(0);
        sim.run_for(50);
        sim.restart_as(0, incarnation);
        sim.publish_views();
        sim.run_for(1_000);
        sim.inject(1, Input::LinkLost { sibling: id(0) });
        sim.submit(0, job("restarted", 4, 3_000));
        sim.run_for(2_500);
        assert!(
            sim.duplicate_runs.is_empty(),
            "incarnation {incarnation}: {:?}\n{}",
            sim.duplicate_runs,
            sim.decisions.join("\n")
        );
    }
}

#[test]
fn an_owner_runs_no_order_of_a_coordinator_that_control_no_longer_lists() {
    for is_killed in [false, true] {
        for view_after in (1..150).step_by(10) {
            let sim = order_around_a_view_without_its_coordinator(view_after, is_killed);
            assert!(
                sim.duplicate_runs.is_empty(),
                "killed: {is_killed}, view {view_after} ms after the order: {:?}\n{}",
                sim.duplicate_runs,
                sim.decisions.join("\n")
            );
        }
    }
}

/// Entry 0, which owns no target, orders a task after a cut. The view of the owner lacks it from `view_after`
/// milliseconds later on.
fn order_around_a_view_without_its_coordinator(view_after: u64, is_killed: bool) -> Simulation {
    let mut sim = Simulation::new(3, 3, LONG);
    sim.grant_target(0, 2);
    sim.publish_views();
    sim.run_for(1_500);
    sim.cut_links = vec![(0, 1), (0, 2)];
    sim.run_for(900);
    sim.cut_links = vec![(0, 2)];
    let before = hearings_of_entry_1(&sim);
    while hearings_of_entry_1(&sim) == before {
        sim.run_for(1);
    }
    sim.delays.insert((0, 1), 20);
    sim.delays.insert((1, 0), 20);
    sim.submit(0, job("late", 1, 3_000));
    sim.run_for(view_after);
    sim.publish_view_without(1, &[0]);
    sim.run_for(200);
    sim.cut_links.clear();
    if is_killed {
        sim.kill(0);
        sim.run_for(1_300);
        sim.submit(2, job("late", 1, 3_000));
    }
    sim.run_for(3_000);
    sim
}

/// Returns how often entry 0 began to hear entry 1.
fn hearings_of_entry_1(sim: &Simulation) -> usize {
    let decisions = sim.decisions.iter();
    let heard = decisions.filter(|decision| {
        ["entry 0: SiblingChanged", "entry-1", "heard"]
            .iter()
            .all(|part| decision.contains(part))
    });
    heard.count()
}
