//! Failures of entries, callers and links in virtual time. No task may run twice at the same time.

mod simulation;

use kqr_dispatch::{EndKind, GiveUp, Input, JobEnd, RefusalCause};
use simulation::{Simulation, TaskBehaviour, id, job, target_id};

const QUICK: TaskBehaviour = TaskBehaviour {
    run_ms: 50,
    end: EndKind::Done,
    hangs: false,
};
const LONG: TaskBehaviour = TaskBehaviour { run_ms: 900, ..QUICK };

#[test]
fn a_job_is_placed_on_the_targets_of_all_owners() {
    let mut sim = Simulation::new(3, 6, QUICK);
    sim.submit(0, job("wide", 12, 50));
    sim.run_for(80);
    assert_eq!(sim.end_of("wide"), Some(&JobEnd::Completed));
    assert!(sim.targets.values().all(|target| target.starts.len() == 2));
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}

#[test]
fn a_job_that_exceeds_all_capacity_waits_for_it() {
    let mut sim = Simulation::new(2, 2, QUICK);
    sim.submit(0, job("wider", 16, 50));
    sim.run_for(400);
    assert_eq!(sim.end_of("wider"), Some(&JobEnd::Completed));
}

#[test]
fn an_owner_resumed_after_its_lease_expired_starts_nothing() {
    let mut sim = Simulation::new(2, 2, LONG);
    sim.submit(0, job("suspended", 4, 900));
    sim.run_for(100);
    sim.suspend(0);
    sim.run_for(1_000);
    sim.grant_target(0, 1);
    sim.publish_view(1);
    sim.run_for(500);
    // The caller submits the job to the other entry.
    sim.submit(1, job("suspended", 4, 900));
    sim.run_for(300);
    sim.resume(0);
    sim.run_for(3_000);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
    let ends = &sim.ends["suspended"];
    assert!(ends.contains(&(1, JobEnd::Completed)), "{ends:?}");
}

#[test]
fn a_new_owner_stops_runs_of_the_previous_owner() {
    let mut sim = Simulation::new(2, 1, LONG);
    sim.submit(0, job("orphan", 2, 900));
    sim.run_for(100);
    sim.kill(0);
    sim.grant_target(0, 1);
    sim.publish_view(1);
    sim.run_for(200);
    assert!(sim.targets[&target_id(0)].running.is_empty());
    sim.submit(1, job("next", 1, 900));
    sim.run_for(1_200);
    assert_eq!(sim.end_of("next"), Some(&JobEnd::Completed));
}

#[test]
fn an_owner_replaced_without_notice_is_fenced() {
    let mut sim = Simulation::new(2, 1, QUICK);
    sim.grant_target(0, 1);
    sim.publish_view(1);
    sim.run_for(100);
    sim.submit(0, job("stale", 1, 50));
    sim.run_for(1_600);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
    assert_eq!(
        sim.end_of("stale"),
        Some(&JobEnd::Completed),
        "ordered at the new owner"
    );
}

#[test]
fn runs_of_a_disconnected_caller_are_stopped() {
    let mut sim = Simulation::new(2, 2, LONG);
    sim.submit(0, job("disconnected", 4, 900));
    sim.run_for(100);
    sim.abandon(0, "disconnected");
    sim.run_for(100);
    assert!(sim.targets.values().all(|target| target.running.is_empty()));
    assert_eq!(sim.end_of("disconnected"), None);
}

#[test]
fn runs_of_a_lost_coordinator_are_stopped() {
    let mut sim = Simulation::new(2, 2, LONG);
    sim.submit(0, job("coordinator", 4, 900));
    sim.run_for(100);
    sim.kill(0);
    sim.run_for(600);
    assert!(sim.targets[&target_id(1)].running.is_empty());
}

#[test]
fn a_job_whose_runs_could_not_begin_is_refused_as_not_run() {
    let mut sim = Simulation::new(1, 1, LONG);
    sim.submit(0, job("first", 2, 900));
    let mut second = job("second", 1, 200);
    second.time_left = std::time::Duration::from_millis(400);
    sim.submit(0, second);
    sim.run_for(600);
    let expired = |end: &JobEnd| {
        matches!(
            end,
            JobEnd::Refused {
                cause: RefusalCause::Expired,
                ..
            }
        )
    };
    assert!(sim.end_of("second").is_some_and(expired));
    sim.run_for(1_000);
    let starts = &sim.targets[&target_id(0)].starts;
    assert!(starts.iter().all(|run| run.task.job.as_str() == "first"));
}

#[test]
fn a_job_that_has_begun_may_complete_after_its_deadline_while_useful() {
    let mut sim = Simulation::new(
        1,
        1,
        TaskBehaviour {
            run_ms: 1_700,
            ..QUICK
        },
    );
    sim.submit(0, job("long", 1, 1_200));
    sim.run_for(1_600);
    assert_eq!(sim.end_of("long"), None);
    sim.run_for(200);
    assert_eq!(sim.end_of("long"), Some(&JobEnd::Completed));
}

#[test]
fn a_job_that_takes_far_longer_than_estimated_is_given_up() {
    let mut sim = Simulation::new(
        1,
        1,
        TaskBehaviour {
            run_ms: 60_000,
            ..QUICK
        },
    );
    sim.submit(0, job("endless", 1, 50));
    sim.run_for(1_700);
    assert_eq!(sim.end_of("endless"), Some(&JobEnd::GivenUp(GiveUp::Deadline)));
    sim.run_for(100);
    assert!(sim.targets[&target_id(0)].running.is_empty());
}

#[test]
fn a_job_that_fits_on_no_target_is_refused() {
    let mut sim = Simulation::new(1, 1, QUICK);
    let mut huge = job("huge", 1, 50);
    huge.steps[0].needs.cpu_milli = 100_000;
    sim.submit(0, huge);
    let no_target = |end: &JobEnd| {
        matches!(
            end,
            JobEnd::Refused {
                cause: RefusalCause::NoTarget,
                ..
            }
        )
    };
    assert!(sim.end_of("huge").is_some_and(no_target));
}

/// Regression: a job that arrived just after the only target had missed a poll was refused as overload.
#[test]
fn a_job_waits_while_no_target_accepts_runs_for_a_short_time() {
    let mut sim = Simulation::new(1, 1, QUICK);
    sim.cut_target_links.push((0, target_id(0)));
    sim.run_for(700);
    sim.submit(0, job("waits", 1, 50));
    sim.run_for(300);
    assert_eq!(sim.end_of("waits"), None);
    sim.cut_target_links.clear();
    sim.run_for(800);
    assert_eq!(sim.end_of("waits"), Some(&JobEnd::Completed));
}

#[test]
fn a_job_waits_for_the_first_target_after_a_restart() {
    let mut sim = Simulation::new(1, 1, QUICK);
    sim.kill(0);
    sim.restart(0);
    sim.submit(0, job("early", 1, 50));
    sim.run_for(300);
    assert_eq!(sim.end_of("early"), None);
    sim.publish_views();
    sim.run_for(400);
    assert_eq!(sim.end_of("early"), Some(&JobEnd::Completed));
}

/// Regression: an owner lost its link, accepted an order after that and then opened a session. The
/// coordinator counted the order as lost although its run went on.
#[test]
fn an_order_accepted_after_its_owner_lost_the_link_stays_valid() {
    let mut sim = Simulation::new(
        2,
        2,
        TaskBehaviour {
            run_ms: 1_600,
            ..QUICK
        },
    );
    sim.submit(0, job("before", 2, 1_500));
    sim.run_for(10);
    sim.inject(1, Input::LinkLost { sibling: id(0) });
    sim.submit(0, job("after", 2, 1_500));
    sim.run_for(10);
    let dropped = sim.dispatcher(1).last_dropped_order(&id(0));
    sim.inject(
        0,
        Input::SessionOpened {
            sibling: id(1),
            dropped,
        },
    );
    sim.run_for(2_000);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
    assert_eq!(sim.end_of("after"), Some(&JobEnd::Completed));
    let starts: usize = sim.targets.values().map(|target| target.starts.len()).sum();
    assert_eq!(starts, 4, "no task was ordered again");
}

#[test]
fn an_order_delayed_by_a_suspended_owner_is_rejected() {
    let mut sim = Simulation::new(2, 2, LONG);
    // The target of entry 0 is full, so the job is ordered at entry 1, whose process is suspended.
    sim.submit(0, job("full", 2, 900));
    sim.run_for(20);
    sim.suspend(1);
    sim.submit(0, job("delayed", 1, 100));
    sim.run_for(1_500);
    sim.resume(1);
    sim.run_for(3_000);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}

#[test]
fn a_leaving_entry_answers_all_callers_before_it_exits() {
    let mut sim = Simulation::new(2, 2, LONG);
    sim.submit(0, job("open", 1, 900));
    sim.run_for(100);
    sim.shut_down_within(0, 500);
    sim.submit(0, job("too-long", 1, 900));
    sim.submit(0, job("short", 1, 20));
    sim.run_for(30);
    let refused = sim.end_of("too-long");
    let is_refused = matches!(
        refused,
        Some(JobEnd::Refused {
            cause: RefusalCause::Leaving,
            ..
        })
    );
    assert!(is_refused, "{refused:?}");
    assert_eq!(sim.end_of("short"), None, "still running");
    assert_eq!(sim.end_of("open"), None, "continues until the shutdown");
    sim.run_for(600);
    assert_eq!(sim.end_of("open"), Some(&JobEnd::GivenUp(GiveUp::Leaving)));
}

#[test]
fn a_leaving_entry_releases_its_targets_and_completes_its_jobs() {
    let mut sim = Simulation::new(2, 2, LONG);
    sim.submit(0, job("leaving", 4, 900));
    sim.run_for(100);
    sim.shut_down(0);
    sim.run_for(100);
    assert_eq!(
        sim.dispatcher(0).releasable_targets(),
        Vec::new(),
        "tasks are still running"
    );
    sim.run_for(1_000);
    assert_eq!(sim.end_of("leaving"), Some(&JobEnd::Completed));
    assert_eq!(sim.dispatcher(0).releasable_targets().len(), 1);
    sim.submit(0, job("after", 1, 50));
    sim.run_for(1_200);
    assert_eq!(
        sim.end_of("after"),
        Some(&JobEnd::Completed),
        "run by the other entry"
    );
}

#[test]
fn a_second_submission_of_a_job_in_progress_is_not_run_again() {
    let mut sim = Simulation::new(1, 2, LONG);
    sim.submit(0, job("twice", 1, 900));
    sim.run_for(50);
    sim.submit(0, job("twice", 1, 900));
    sim.run_for(1_500);
    let starts: usize = sim.targets.values().map(|target| target.starts.len()).sum();
    assert_eq!(starts, 1);
}
