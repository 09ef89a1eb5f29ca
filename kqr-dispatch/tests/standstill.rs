//! Suspended entries with unread inputs in virtual time. No task may run twice at the same time.

mod simulation;

use std::time::Duration;

use kqr_dispatch::{EndKind, JobEnd, RefusalCause, TargetCall};
use simulation::{CallFault, Simulation, TaskBehaviour, job, target_id};

const LONG: TaskBehaviour = TaskBehaviour {
    run_ms: 900,
    end: EndKind::Done,
    hangs: false,
};
/// Longer than the sibling timeout and the leases of runs.
const STANDSTILL_MS: u64 = 2_000;
/// When a caller without an answer submits its job to another entry.
const RETRY_MS: u64 = 1_300;
/// Longest time for which an abandonment may remain unread after a standstill.
const UNREAD_MS: u64 = 40;

/// Suspends entry 0 with an unread submission, which its caller repeats at entry 1.
fn suspend_with_unread_job(key: &str) -> Simulation {
    let mut sim = Simulation::new(2, 4, LONG);
    sim.suspend(0);
    sim.run_for(100);
    sim.submit(0, job(key, 2, 900));
    sim.run_for(RETRY_MS);
    sim.submit(1, job(key, 2, 900));
    sim.run_for(STANDSTILL_MS - RETRY_MS - 100);
    assert_eq!(start_count(&sim), 2, "the other entry runs the job");
    sim
}

fn start_count(sim: &Simulation) -> usize {
    sim.targets.values().map(|target| target.starts.len()).sum()
}

fn assert_run_once_by_entry_1(sim: &Simulation, key: &str) {
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
    assert_eq!(sim.ends[key], [(1, JobEnd::Completed)]);
    let decisions = sim.decisions.iter();
    let orders: Vec<&String> = decisions
        .filter(|decision| decision.contains("entry 0: TaskOrdered"))
        .collect();
    assert!(orders.is_empty(), "{orders:?}");
    assert_eq!(start_count(sim), 2);
}

// A job was ordered by a resumed entry although its caller's disconnect was in the queue as well.
#[test]
fn a_job_read_after_a_standstill_together_with_its_abandonment_is_not_ordered() {
    let mut sim = suspend_with_unread_job("moved");
    sim.abandon(0, "moved");
    sim.resume(0);
    sim.run_for(3_000);
    assert_run_once_by_entry_1(&sim, "moved");
}

// A job ran at two entries because its caller's disconnect was read after a few milliseconds only.
#[test]
fn a_job_read_after_a_standstill_shortly_before_its_abandonment_is_not_ordered() {
    let mut sim = suspend_with_unread_job("moved");
    sim.resume(0);
    sim.run_for(UNREAD_MS);
    sim.abandon(0, "moved");
    sim.run_for(3_000);
    assert_run_once_by_entry_1(&sim, "moved");
}

#[test]
fn a_job_read_after_a_standstill_runs_if_its_caller_waits() {
    let mut sim = Simulation::new(2, 4, LONG);
    sim.suspend(0);
    sim.run_for(STANDSTILL_MS);
    sim.submit(0, job("waiting", 2, 900));
    sim.resume(0);
    sim.run_for(2_000);
    assert_eq!(sim.ends["waiting"], [(0, JobEnd::Completed)]);
}

#[test]
fn a_job_whose_time_ends_while_it_is_held_is_refused() {
    let mut sim = Simulation::new(2, 4, LONG);
    sim.suspend(0);
    sim.run_for(STANDSTILL_MS);
    let mut late = job("late", 2, 900);
    late.time_left = Duration::from_millis(20);
    sim.submit(0, late);
    sim.resume(0);
    sim.run_for(100);
    let Some(JobEnd::Refused { cause, .. }) = sim.end_of("late") else {
        panic!("{:?}", sim.ends);
    };
    assert_eq!(*cause, RefusalCause::Expired);
    assert_eq!(start_count(&sim), 0);
}

#[test]
fn a_job_whose_time_has_passed_is_refused_at_once() {
    let mut sim = Simulation::new(1, 1, LONG);
    let mut late = job("late", 1, 900);
    late.time_left = Duration::ZERO;
    sim.submit(0, late);
    let Some(JobEnd::Refused { cause, .. }) = sim.end_of("late") else {
        panic!("{:?}", sim.ends);
    };
    assert_eq!(*cause, RefusalCause::Expired);
    assert_eq!(start_count(&sim), 0);
}

#[test]
fn jobs_are_placed_at_once_when_the_hold_is_over() {
    let mut sim = Simulation::new(2, 4, LONG);
    sim.suspend(0);
    sim.run_for(STANDSTILL_MS);
    sim.resume(0);
    sim.run_for(100);
    sim.submit(0, job("next", 2, 900));
    sim.run_for(5);
    assert_eq!(start_count(&sim), 2);
}

#[test]
fn orders_of_a_sibling_that_were_unread_during_a_standstill_are_rejected() {
    let mut sim = Simulation::new(2, 2, LONG);
    // The targets of entry 0 are full, so its next job is ordered at entry 1.
    sim.submit(0, job("full", 2, 900));
    sim.run_for(20);
    sim.submit(0, job("unread", 1, 900));
    let last = sim.decisions.last();
    let is_remote = last.is_some_and(|order| order.contains("unread") && order.contains("owner: entry-1"));
    assert!(is_remote, "{last:?}");
    sim.suspend(1);
    sim.run_for(STANDSTILL_MS);
    let starts = start_count(&sim);
    sim.resume(1);
    sim.run_for(1);
    let decisions = sim.decisions.iter();
    let late = decisions.filter(|decision| decision.contains("entry 1: RunStarted"));
    assert_eq!(late.count(), 0);
    assert_eq!(start_count(&sim), starts);
    sim.run_for(3_000);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}

#[test]
fn a_start_that_leaves_an_entry_after_its_standstill_is_refused_by_its_lease() {
    let mut sim = Simulation::new(2, 4, LONG);
    // The process is suspended between the decision and the call.
    sim.call_fault = Box::new(|call| match call {
        TargetCall::Start(_) => CallFault::Late(STANDSTILL_MS),
        _ => CallFault::Normal,
    });
    sim.submit(0, job("moved", 2, 900));
    sim.suspend(0);
    sim.run_for(RETRY_MS);
    sim.call_fault = Box::new(|_| CallFault::Normal);
    sim.submit(1, job("moved", 2, 900));
    sim.run_for(STANDSTILL_MS - RETRY_MS + 100);
    sim.abandon(0, "moved");
    sim.resume(0);
    sim.run_for(3_000);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
    assert_eq!(start_count(&sim), 2);
}

#[test]
fn answers_to_polls_read_after_a_standstill_extend_no_lease() {
    let endless = TaskBehaviour {
        run_ms: 60_000,
        ..LONG
    };
    let mut sim = Simulation::new(1, 1, endless);
    sim.submit(0, job("stood", 1, 900));
    sim.run_for(100);
    sim.suspend(0);
    // Longer than the sibling timeout, shorter than the lease.
    sim.run_for(500);
    assert_eq!(sim.targets[&target_id(0)].running.len(), 1);
    // Stops get lost, so that only the lease ends the run.
    sim.call_fault = Box::new(|call| match call {
        TargetCall::Stop(_) => CallFault::Late(60_000),
        _ => CallFault::Normal,
    });
    let end = sim.now + 300;
    sim.resume(0);
    while sim.now < end {
        sim.run_for(10);
        if sim.targets[&target_id(0)].running.is_empty() {
            return;
        }
    }
    panic!("the lease of the run was extended");
}

/// A list of runs that was read after a standstill of the owner seemed to say that they had stood still as well.
#[test]
fn runs_that_went_on_during_a_standstill_do_not_count_as_hanging() {
    let slow = TaskBehaviour {
        run_ms: 2_000,
        ..LONG
    };
    for (started_after, suspended_after) in (590..610)
        .step_by(5)
        .flat_map(|at| (1_380..1_420).map(move |by| (at, by)))
    {
        let mut sim = Simulation::new(1, 1, slow);
        let small_job = |key: &str| {
            let mut request = job(key, 1, 2_000);
            request.time_left = Duration::from_secs(10);
            request.steps[0].needs.cpu_milli = 1_000;
            request
        };
        sim.submit(0, small_job("ends-first"));
        sim.run_for(10);
        sim.submit(0, small_job("ends-next"));
        sim.run_for(started_after);
        sim.submit(0, small_job("goes-on"));
        sim.run_for(suspended_after);
        sim.suspend(0);
        // Longer than runs may be without progress, shorter than the sibling timeout.
        sim.run_for(350);
        sim.resume(0);
        sim.run_for(1_500);
        let stopped = sim
            .decisions
            .iter()
            .filter(|decision| decision.contains("hanging"));
        assert_eq!(
            stopped.count(),
            0,
            "{suspended_after} ms\n{}",
            sim.decisions.join("\n")
        );
        assert_eq!(sim.end_of("goes-on"), Some(&JobEnd::Completed));
    }
}
