//! Failures of targets: each is caused in virtual time, and no task may be at work twice at the same time.

mod world;

use std::{cell::RefCell, rc::Rc};

use kqr_dispatch::{EndKind, JobEnd, TargetCall};
use world::{CallFate, Manner, World, job, target_id};

const QUICK: Manner = Manner {
    run_ms: 50,
    end: EndKind::Done,
    hangs: false,
};
const LONG: Manner = Manner { run_ms: 900, ..QUICK };
const FAILING: Manner = Manner {
    end: EndKind::Failed,
    ..QUICK
};
const HANGING: Manner = Manner { hangs: true, ..QUICK };

#[test]
fn a_job_fails_at_its_bound_of_attempts() {
    let mut world = World::new(2, 4, FAILING);
    world.submit(0, job("bad", 1, 50));
    world.run(600);
    assert_eq!(world.end_of("bad"), Some(&JobEnd::Failed));
    let starts: usize = world.targets.values().map(|target| target.starts.len()).sum();
    assert_eq!(starts, 2, "max_attempts is 2");
}

#[test]
fn a_failed_run_is_repeated_on_another_target() {
    let mut world = World::new(1, 2, QUICK);
    world.targets.get_mut(&target_id(0)).unwrap().manner = FAILING;
    for number in 0..4 {
        world.submit(0, job(&format!("job-{number}"), 1, 50));
        world.run(300);
        let end = world.end_of(&format!("job-{number}"));
        assert_eq!(end, Some(&JobEnd::Completed));
    }
}

#[test]
fn a_start_that_is_carried_out_seconds_later_does_nothing() {
    let mut world = World::new(1, 2, QUICK);
    let is_first = Rc::new(RefCell::new(true));
    world.fate = Box::new(move |call| match call {
        TargetCall::Start(_) if is_first.replace(false) => CallFate::Late(3_000),
        _ => CallFate::Normal,
    });
    world.submit(0, job("late", 1, 50));
    world.run(4_000);
    assert_eq!(world.end_of("late"), Some(&JobEnd::Completed));
    let starts: usize = world.targets.values().map(|target| target.starts.len()).sum();
    assert_eq!(starts, 1, "the late start came after its lease");
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

#[test]
fn a_start_without_an_answer_is_made_elsewhere_as_soon_as_its_stop_is_proved() {
    let mut world = World::new(1, 2, QUICK);
    let is_first = Rc::new(RefCell::new(true));
    world.fate = Box::new(move |call| match call {
        TargetCall::Start(_) if is_first.replace(false) => CallFate::Late(3_000),
        _ => CallFate::Normal,
    });
    world.submit(0, job("doubtful", 1, 50));
    // The time for the answer, a look, a stop, another look, and the run.
    world.run(130 + 70 + 50);
    assert_eq!(world.end_of("doubtful"), Some(&JobEnd::Completed));
    world.run(4_000);
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

#[test]
fn an_end_is_seen_though_a_poll_gets_no_answer() {
    let mut world = World::new(1, 1, QUICK);
    let polls = Rc::new(RefCell::new(0));
    world.fate = Box::new(move |call| match call {
        TargetCall::Poll(poll) if !poll.wait.is_zero() => {
            *polls.borrow_mut() += 1;
            if *polls.borrow() == 1 {
                CallFate::AnswerLost
            } else {
                CallFate::Normal
            }
        }
        _ => CallFate::Normal,
    });
    world.submit(0, job("unseen", 1, 50));
    world.run(350);
    assert_eq!(world.end_of("unseen"), Some(&JobEnd::Completed));
}

#[test]
fn a_start_whose_answer_is_lost_runs_once() {
    let mut world = World::new(1, 2, LONG);
    let is_first = Rc::new(RefCell::new(true));
    world.fate = Box::new(move |call| match call {
        TargetCall::Start(_) if is_first.replace(false) => CallFate::AnswerLost,
        _ => CallFate::Normal,
    });
    world.submit(0, job("lost", 1, 900));
    world.run(1_400);
    assert_eq!(world.end_of("lost"), Some(&JobEnd::Completed));
    let starts: usize = world.targets.values().map(|target| target.starts.len()).sum();
    assert_eq!(starts, 1);
}

#[test]
fn a_target_that_restarts_between_two_polls_has_lost_its_runs() {
    let mut world = World::new(1, 1, LONG);
    world.submit(0, job("reborn", 1, 900));
    world.run(200);
    world.targets.get_mut(&target_id(0)).unwrap().restart();
    world.run(2_500);
    assert_eq!(world.end_of("reborn"), Some(&JobEnd::Completed));
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

#[test]
fn a_target_that_goes_dark_is_given_up_when_its_lease_has_ended() {
    let mut world = World::new(1, 2, LONG);
    world.submit(0, job("dark", 1, 900));
    world.run(100);
    let busy = world.targets.values().find(|target| !target.running.is_empty());
    let busy = busy.unwrap().record.id.clone();
    world.target_cuts.push((0, busy));
    world.run(4_000);
    assert_eq!(world.end_of("dark"), Some(&JobEnd::Completed));
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}

#[test]
fn a_hanging_run_is_stopped_and_repeated_elsewhere() {
    let mut world = World::new(1, 2, Manner { run_ms: 200, ..QUICK });
    world.targets.get_mut(&target_id(0)).unwrap().manner = HANGING;
    world.submit(0, job("hang", 4, 200));
    world.run(1_400);
    assert_eq!(world.end_of("hang"), Some(&JobEnd::Completed));
    assert_eq!(world.targets[&target_id(0)].starts.len(), 2);
    assert_eq!(world.targets[&target_id(1)].starts.len(), 4);
    assert!(world.doubles.is_empty(), "{:?}", world.doubles);
}
