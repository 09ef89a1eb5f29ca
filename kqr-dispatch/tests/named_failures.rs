//! Named failures: each is caused in virtual time, and no task may be at work twice at the same time.

mod world;

use kqr_dispatch::{EndKind, GiveUp, Input, JobEnd, RefusalCause};
use world::{Manner, World, id, job, target_id};

const QUICK: Manner = Manner {
    run_ms: 50,
    end: EndKind::Done,
    hangs: false,
};
const LONG: Manner = Manner { run_ms: 900, ..QUICK };

#[test]
fn a_job_is_placed_on_the_targets_of_all_owners() {
    let mut world = World::new(3, 6, QUICK);
    world.submit(0, job("wide", 12, 50));
    world.run(80);
    assert_eq!(world.end_of("wide"), Some(&JobEnd::Completed));
    assert!(world.targets.values().all(|target| target.starts.len() == 2));
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

#[test]
fn a_job_that_exceeds_all_room_waits_for_it() {
    let mut world = World::new(2, 2, QUICK);
    world.submit(0, job("wider", 16, 50));
    world.run(400);
    assert_eq!(world.end_of("wider"), Some(&JobEnd::Completed));
}

#[test]
fn an_owner_that_wakes_after_its_lease_starts_nothing() {
    let mut world = World::new(2, 2, LONG);
    world.submit(0, job("frozen", 4, 900));
    world.run(100);
    world.freeze(0);
    world.run(1_000);
    world.give(0, 1);
    world.tell_view(1);
    world.run(500);
    // The caller asks the other entry.
    world.submit(1, job("frozen", 4, 900));
    world.run(300);
    world.thaw(0);
    world.run(3_000);
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
    let ends = &world.ends["frozen"];
    assert!(ends.contains(&(1, JobEnd::Completed)), "{ends:?}");
}

#[test]
fn a_new_owner_stops_what_it_does_not_know() {
    let mut world = World::new(2, 1, LONG);
    world.submit(0, job("orphan", 2, 900));
    world.run(100);
    world.kill(0);
    world.give(0, 1);
    world.tell_view(1);
    world.run(200);
    assert!(world.targets[&target_id(0)].running.is_empty());
    world.submit(1, job("next", 1, 900));
    world.run(1_200);
    assert_eq!(world.end_of("next"), Some(&JobEnd::Completed));
}

#[test]
fn an_owner_that_was_replaced_without_hearing_of_it_is_fenced() {
    let mut world = World::new(2, 1, QUICK);
    world.give(0, 1);
    world.tell_view(1);
    world.run(100);
    world.submit(0, job("stale", 1, 50));
    world.run(1_600);
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
    assert_eq!(
        world.end_of("stale"),
        Some(&JobEnd::Completed),
        "ordered at the new owner"
    );
}

#[test]
fn the_runs_of_a_caller_that_is_gone_are_stopped() {
    let mut world = World::new(2, 2, LONG);
    world.submit(0, job("gone", 4, 900));
    world.run(100);
    world.abandon(0, "gone");
    world.run(100);
    assert!(world.targets.values().all(|target| target.running.is_empty()));
    assert_eq!(world.end_of("gone"), None);
}

#[test]
fn the_runs_of_a_coordinator_that_is_lost_are_stopped() {
    let mut world = World::new(2, 2, LONG);
    world.submit(0, job("coordinator", 4, 900));
    world.run(100);
    world.kill(0);
    world.run(600);
    assert!(world.targets[&target_id(1)].running.is_empty());
}

#[test]
fn a_job_of_which_nothing_could_begin_is_refused_as_not_run() {
    let mut world = World::new(1, 1, LONG);
    world.submit(0, job("first", 2, 900));
    let mut second = job("second", 1, 200);
    second.time_left = std::time::Duration::from_millis(400);
    world.submit(0, second);
    world.run(600);
    let expired = |end: &JobEnd| {
        matches!(
            end,
            JobEnd::Refused {
                cause: RefusalCause::Expired,
                ..
            }
        )
    };
    assert!(world.end_of("second").is_some_and(expired));
    world.run(1_000);
    let starts = &world.targets[&target_id(0)].starts;
    assert!(starts.iter().all(|run| run.task.job.as_str() == "first"));
}

#[test]
fn a_job_that_has_begun_is_answered_when_it_is_of_use_though_its_time_is_over() {
    let mut world = World::new(
        1,
        1,
        Manner {
            run_ms: 1_700,
            ..QUICK
        },
    );
    world.submit(0, job("long", 1, 1_200));
    world.run(1_600);
    assert_eq!(world.end_of("long"), None);
    world.run(200);
    assert_eq!(world.end_of("long"), Some(&JobEnd::Completed));
}

#[test]
fn a_job_that_takes_far_longer_than_estimated_is_given_up() {
    let mut world = World::new(
        1,
        1,
        Manner {
            run_ms: 60_000,
            ..QUICK
        },
    );
    world.submit(0, job("endless", 1, 50));
    world.run(1_700);
    assert_eq!(world.end_of("endless"), Some(&JobEnd::GivenUp(GiveUp::Deadline)));
    world.run(100);
    assert!(world.targets[&target_id(0)].running.is_empty());
}

#[test]
fn a_job_that_no_target_can_hold_is_refused() {
    let mut world = World::new(1, 1, QUICK);
    let mut huge = job("huge", 1, 50);
    huge.steps[0].needs.cpu_milli = 100_000;
    world.submit(0, huge);
    let no_target = |end: &JobEnd| {
        matches!(
            end,
            JobEnd::Refused {
                cause: RefusalCause::NoTarget,
                ..
            }
        )
    };
    assert!(world.end_of("huge").is_some_and(no_target));
}

/// A job that came while the only target had missed a poll was refused as overload.
#[test]
fn a_job_waits_while_no_target_takes_work_for_a_moment() {
    let mut world = World::new(1, 1, QUICK);
    world.target_cuts.push((0, target_id(0)));
    world.run(700);
    world.submit(0, job("waits", 1, 50));
    world.run(300);
    assert_eq!(world.end_of("waits"), None);
    world.target_cuts.clear();
    world.run(800);
    assert_eq!(world.end_of("waits"), Some(&JobEnd::Completed));
}

#[test]
fn a_job_waits_for_the_first_target_after_a_restart() {
    let mut world = World::new(1, 1, QUICK);
    world.kill(0);
    world.restart(0);
    world.submit(0, job("early", 1, 50));
    world.run(300);
    assert_eq!(world.end_of("early"), None);
    world.tell_views();
    world.run(400);
    assert_eq!(world.end_of("early"), Some(&JobEnd::Completed));
}

/// An owner gave its link up, took an order after that, and opened a session: the coordinator counted the
/// order as lost although it ran on.
#[test]
fn an_order_that_came_after_its_owner_had_given_the_link_up_stays_valid() {
    let mut world = World::new(
        2,
        2,
        Manner {
            run_ms: 1_600,
            ..QUICK
        },
    );
    world.submit(0, job("before", 2, 1_500));
    world.run(10);
    world.tell(1, Input::LinkLost { sibling: id(0) });
    world.submit(0, job("after", 2, 1_500));
    world.run(10);
    let dropped = world.machine(1).last_dropped_order(&id(0));
    world.tell(
        0,
        Input::SessionOpened {
            sibling: id(1),
            dropped,
        },
    );
    world.run(2_000);
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
    assert_eq!(world.end_of("after"), Some(&JobEnd::Completed));
    let starts: usize = world.targets.values().map(|target| target.starts.len()).sum();
    assert_eq!(starts, 4, "no task was ordered again");
}

#[test]
fn an_order_that_was_held_up_in_a_cut_is_not_taken() {
    let mut world = World::new(2, 2, LONG);
    // The target of entry 0 is full, so the job goes to entry 1, whose process stands still.
    world.submit(0, job("full", 2, 900));
    world.run(20);
    world.freeze(1);
    world.submit(0, job("held", 1, 100));
    world.run(1_500);
    world.thaw(1);
    world.run(3_000);
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

#[test]
fn a_leaving_entry_answers_all_its_callers_before_it_ends() {
    let mut world = World::new(2, 2, LONG);
    world.submit(0, job("open", 1, 900));
    world.run(100);
    world.leave_within(0, 500);
    world.submit(0, job("too-long", 1, 900));
    world.submit(0, job("short", 1, 20));
    world.run(30);
    let refused = world.end_of("too-long");
    let is_refused = matches!(
        refused,
        Some(JobEnd::Refused {
            cause: RefusalCause::Leaving,
            ..
        })
    );
    assert!(is_refused, "{refused:?}");
    assert_eq!(world.end_of("short"), None, "it is at work");
    assert_eq!(world.end_of("open"), None, "it goes on");
    world.run(600);
    assert_eq!(world.end_of("open"), Some(&JobEnd::GivenUp(GiveUp::Leaving)));
}

#[test]
fn a_leaving_entry_gives_its_targets_back_and_finishes_its_jobs() {
    let mut world = World::new(2, 2, LONG);
    world.submit(0, job("leaving", 4, 900));
    world.run(100);
    world.leave(0);
    world.run(100);
    assert_eq!(
        world.machine(0).releasable_targets(),
        Vec::new(),
        "tasks are still at work"
    );
    world.run(1_000);
    assert_eq!(world.end_of("leaving"), Some(&JobEnd::Completed));
    assert_eq!(world.machine(0).releasable_targets().len(), 1);
    world.submit(0, job("after", 1, 50));
    world.run(1_200);
    assert_eq!(
        world.end_of("after"),
        Some(&JobEnd::Completed),
        "run by the other entry"
    );
}

#[test]
fn a_second_submission_of_a_job_at_work_is_not_run_again() {
    let mut world = World::new(1, 2, LONG);
    world.submit(0, job("twice", 1, 900));
    world.run(50);
    world.submit(0, job("twice", 1, 900));
    world.run(1_500);
    let starts: usize = world.targets.values().map(|target| target.starts.len()).sum();
    assert_eq!(starts, 1);
}
