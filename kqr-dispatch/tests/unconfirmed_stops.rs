//! Stops that targets answer late or never, in virtual time. A run that is to end must not outlive the time
//! after which its task may be started elsewhere, whatever else its target runs.

mod simulation;

use std::{cell::RefCell, time::Duration};

use kqr_dispatch::{EndKind, JobEnd, JobRequest, TargetCall};
use simulation::{CallFault, Simulation, Target, TaskBehaviour, job, record, target_id};

/// Delay after which a caller without an answer submits its job to another entry.
const CALLER_RETRY_MS: u64 = 1_300;
const RUN_MS: u64 = 3_000;
const LONG: TaskBehaviour = TaskBehaviour {
    run_ms: RUN_MS,
    end: EndKind::Done,
    hangs: false,
};
const QUICK: TaskBehaviour = TaskBehaviour { run_ms: 50, ..LONG };

fn long_job(key: &str) -> JobRequest {
    JobRequest {
        time_left: Duration::from_secs(10),
        ..job(key, 1, RUN_MS)
    }
}

/// Returns a simulation of two entries and one target, which is owned by entry 0 and runs a task of the jobs
/// `ending` and `lasting`, submitted to the given entries.
fn with_two_runs(ending_at: usize, lasting_at: usize) -> Simulation {
    let mut sim = Simulation::new(2, 1, LONG);
    sim.submit(ending_at, long_job("ending"));
    sim.submit(lasting_at, long_job("lasting"));
    sim.run_for(100);
    assert_eq!(sim.targets[&target_id(0)].running.len(), 2);
    sim
}

fn add_target(sim: &mut Simulation, number: usize, entry: usize) {
    sim.targets
        .insert(target_id(number), Target::new(record(number), LONG));
    sim.grant_target(number, entry);
    sim.publish_views();
}

/// Applies `fault` to the first `count` stops.
fn fail_stops(sim: &mut Simulation, count: u32, fault: CallFault) {
    let left = RefCell::new(count);
    sim.call_fault = Box::new(move |call| {
        let mut left = left.borrow_mut();
        if !matches!(call, TargetCall::Stop(_)) || *left == 0 {
            return CallFault::Normal;
        }
        *left -= 1;
        fault
    });
}

fn delay_all_stops(sim: &mut Simulation) {
    fail_stops(sim, u32::MAX, CallFault::Late(6_000));
}

fn is_running(sim: &Simulation, target: usize, job: &str) -> bool {
    let mut runs = sim.targets[&target_id(target)].running.keys();
    runs.any(|run| run.task.job.as_str() == job)
}

#[test]
fn a_run_whose_stops_are_unanswered_ends_before_its_caller_submits_the_job_again() {
    let mut sim = with_two_runs(0, 0);
    add_target(&mut sim, 1, 1);
    delay_all_stops(&mut sim);
    sim.abandon(0, "ending");
    sim.run_for(CALLER_RETRY_MS);
    sim.submit(1, long_job("ending"));
    sim.run_for(8_000);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
    assert_eq!(sim.end_of("ending"), Some(&JobEnd::Completed));
    assert_eq!(sim.end_of("lasting"), Some(&JobEnd::Completed));
}

#[test]
fn a_run_whose_stops_are_unanswered_ends_before_its_lost_owner_is_replaced() {
    let mut sim = with_two_runs(1, 0);
    add_target(&mut sim, 1, 1);
    delay_all_stops(&mut sim);
    sim.cut_links.push((0, 1));
    sim.run_for(8_000);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
    assert_eq!(sim.end_of("ending"), Some(&JobEnd::Completed));
    assert_eq!(sim.end_of("lasting"), Some(&JobEnd::Completed));
}

#[test]
fn a_run_of_a_killed_coordinator_ends_before_its_caller_submits_the_job_again() {
    let mut sim = with_two_runs(1, 0);
    delay_all_stops(&mut sim);
    sim.kill(1);
    sim.run_for(CALLER_RETRY_MS);
    assert!(!is_running(&sim, 0, "ending"));
}

#[test]
fn new_starts_do_not_extend_the_lease_of_a_run_that_is_to_end() {
    let mut sim = Simulation::new(2, 1, LONG);
    sim.submit(0, long_job("ending"));
    sim.run_for(100);
    sim.targets.get_mut(&target_id(0)).unwrap().behaviour = QUICK;
    delay_all_stops(&mut sim);
    sim.abandon(0, "ending");
    for number in 0..13 {
        sim.submit(0, job(&format!("job-{number}"), 1, 50));
        sim.run_for(CALLER_RETRY_MS / 13);
    }
    assert!(!is_running(&sim, 0, "ending"));
    sim.run_for(200);
    assert_eq!(sim.end_of("job-12"), Some(&JobEnd::Completed));
}

#[test]
fn an_owner_resumed_before_its_lease_has_ended_starts_nothing_beside_a_run_that_is_to_end() {
    // The time since the last extension of the lease differs.
    for offset in (0..150).step_by(5) {
        let mut sim = Simulation::new(2, 1, LONG);
        sim.submit(1, long_job("ending"));
        sim.run_for(100);
        add_target(&mut sim, 1, 1);
        sim.run_for(100 + offset);
        delay_all_stops(&mut sim);
        sim.suspend(0);
        sim.abandon(1, "ending");
        sim.run_for(680);
        sim.submit(0, long_job("queued"));
        sim.resume(0);
        sim.run_for(CALLER_RETRY_MS - 680);
        sim.submit(1, long_job("ending"));
        sim.run_for(8_000);
        assert!(
            sim.duplicate_runs.is_empty(),
            "{offset}: {:?}",
            sim.duplicate_runs
        );
    }
}

#[test]
fn a_hanging_run_whose_stops_are_unanswered_is_repeated_once_its_lease_has_ended() {
    let mut sim = with_two_runs(0, 0);
    add_target(&mut sim, 1, 1);
    let target = sim.targets.get_mut(&target_id(0)).unwrap();
    for (run, active) in &mut target.running {
        active.hangs = run.task.job.as_str() == "ending";
    }
    delay_all_stops(&mut sim);
    sim.run_for(5_500);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
    assert_eq!(sim.end_of("ending"), Some(&JobEnd::Completed));
    assert_eq!(sim.end_of("lasting"), Some(&JobEnd::Completed));
}

#[test]
fn a_hanging_run_whose_caller_leaves_ends_before_the_job_is_submitted_again() {
    let mut sim = with_two_runs(0, 0);
    add_target(&mut sim, 1, 1);
    let target = sim.targets.get_mut(&target_id(0)).unwrap();
    for (run, active) in &mut target.running {
        active.hangs = run.task.job.as_str() == "ending";
    }
    delay_all_stops(&mut sim);
    sim.run_for(450);
    sim.abandon(0, "ending");
    sim.run_for(CALLER_RETRY_MS);
    sim.submit(1, long_job("ending"));
    sim.run_for(8_000);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}

#[test]
fn runs_of_a_previous_owner_end_although_their_stops_are_unanswered() {
    let mut sim = with_two_runs(0, 0);
    delay_all_stops(&mut sim);
    sim.grant_target(0, 1);
    sim.publish_views();
    sim.run_for(50);
    sim.abandon(0, "ending");
    sim.run_for(CALLER_RETRY_MS);
    assert!(!is_running(&sim, 0, "ending"));
    sim.run_for(8_000);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}

#[test]
fn a_stop_confirmed_at_a_later_try_ends_no_other_run() {
    for fault in [CallFault::AnswerLost, CallFault::Late(6_000)] {
        for unanswered in 1..=2 {
            let mut sim = with_two_runs(0, 0);
            fail_stops(&mut sim, unanswered, fault);
            sim.abandon(0, "ending");
            sim.run_for(500);
            assert!(!is_running(&sim, 0, "ending"));
            sim.run_for(RUN_MS);
            assert_eq!(sim.end_of("lasting"), Some(&JobEnd::Completed));
            assert_eq!(
                sim.targets[&target_id(0)].starts.len(),
                2,
                "{fault:?}, {unanswered}"
            );
        }
    }
}
