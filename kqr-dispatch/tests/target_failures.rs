//! Failures of targets and of calls to them in virtual time. No task may run twice at the same time.

mod simulation;

use std::{cell::RefCell, rc::Rc};

use kqr_dispatch::{EndKind, JobEnd, TargetCall};
use simulation::{CallFault, Simulation, TaskBehaviour, job, target_id};

const QUICK: TaskBehaviour = TaskBehaviour {
    run_ms: 50,
    end: EndKind::Done,
    hangs: false,
};
const LONG: TaskBehaviour = TaskBehaviour { run_ms: 900, ..QUICK };
const FAILING: TaskBehaviour = TaskBehaviour {
    end: EndKind::Failed,
    ..QUICK
};
const HANGING: TaskBehaviour = TaskBehaviour { hangs: true, ..QUICK };

#[test]
fn a_job_fails_after_its_maximum_number_of_attempts() {
    let mut sim = Simulation::new(2, 4, FAILING);
    sim.submit(0, job("bad", 1, 50));
    sim.run_for(600);
    assert_eq!(sim.end_of("bad"), Some(&JobEnd::Failed));
    let starts: usize = sim.targets.values().map(|target| target.starts.len()).sum();
    assert_eq!(starts, 2, "max_attempts is 2");
}

#[test]
fn a_failed_run_is_repeated_on_another_target() {
    let mut sim = Simulation::new(1, 2, QUICK);
    sim.targets.get_mut(&target_id(0)).unwrap().behaviour = FAILING;
    for number in 0..4 {
        sim.submit(0, job(&format!("job-{number}"), 1, 50));
        sim.run_for(300);
        let end = sim.end_of(&format!("job-{number}"));
        assert_eq!(end, Some(&JobEnd::Completed));
    }
}

#[test]
fn a_start_delayed_by_seconds_has_no_effect() {
    let mut sim = Simulation::new(1, 2, QUICK);
    let is_first = Rc::new(RefCell::new(true));
    sim.call_fault = Box::new(move |call| match call {
        TargetCall::Start(_) if is_first.replace(false) => CallFault::Late(3_000),
        _ => CallFault::Normal,
    });
    sim.submit(0, job("late", 1, 50));
    sim.run_for(4_000);
    assert_eq!(sim.end_of("late"), Some(&JobEnd::Completed));
    let starts: usize = sim.targets.values().map(|target| target.starts.len()).sum();
    assert_eq!(starts, 1, "the delayed start arrived after its lease expired");
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}

#[test]
fn an_unanswered_start_is_repeated_elsewhere_once_its_stop_is_confirmed() {
    let mut sim = Simulation::new(1, 2, QUICK);
    let is_first = Rc::new(RefCell::new(true));
    sim.call_fault = Box::new(move |call| match call {
        TargetCall::Start(_) if is_first.replace(false) => CallFault::Late(3_000),
        _ => CallFault::Normal,
    });
    sim.submit(0, job("uncertain", 1, 50));
    // The timeout of the call, a probe, a stop, another probe, and the run.
    sim.run_for(130 + 70 + 50);
    assert_eq!(sim.end_of("uncertain"), Some(&JobEnd::Completed));
    sim.run_for(4_000);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}

#[test]
fn an_end_is_detected_after_an_unanswered_poll() {
    let mut sim = Simulation::new(1, 1, QUICK);
    let polls = Rc::new(RefCell::new(0));
    sim.call_fault = Box::new(move |call| match call {
        TargetCall::Poll(poll) if !poll.wait.is_zero() => {
            *polls.borrow_mut() += 1;
            if *polls.borrow() == 1 {
                CallFault::AnswerLost
            } else {
                CallFault::Normal
            }
        }
        _ => CallFault::Normal,
    });
    sim.submit(0, job("undetected", 1, 50));
    sim.run_for(350);
    assert_eq!(sim.end_of("undetected"), Some(&JobEnd::Completed));
}

#[test]
fn a_start_whose_answer_is_lost_runs_once() {
    let mut sim = Simulation::new(1, 2, LONG);
    let is_first = Rc::new(RefCell::new(true));
    sim.call_fault = Box::new(move |call| match call {
        TargetCall::Start(_) if is_first.replace(false) => CallFault::AnswerLost,
        _ => CallFault::Normal,
    });
    sim.submit(0, job("lost", 1, 900));
    sim.run_for(1_400);
    assert_eq!(sim.end_of("lost"), Some(&JobEnd::Completed));
    let starts: usize = sim.targets.values().map(|target| target.starts.len()).sum();
    assert_eq!(starts, 1);
}

#[test]
fn a_target_restarted_between_two_polls_has_lost_its_runs() {
    let mut sim = Simulation::new(1, 1, LONG);
    sim.submit(0, job("restarted", 1, 900));
    sim.run_for(200);
    sim.targets.get_mut(&target_id(0)).unwrap().restart();
    sim.run_for(300);
    // Control grants the next life after its first report; nothing is started there before.
    sim.grant_target(0, 0);
    sim.publish_views();
    sim.run_for(2_200);
    assert_eq!(sim.end_of("restarted"), Some(&JobEnd::Completed));
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}

#[test]
fn runs_of_an_unreachable_target_are_lost_when_their_lease_expires() {
    let mut sim = Simulation::new(1, 2, LONG);
    sim.submit(0, job("unreachable", 1, 900));
    sim.run_for(100);
    let busy = sim.targets.values().find(|target| !target.running.is_empty());
    let busy = busy.unwrap().record.id.clone();
    sim.cut_target_links.push((0, busy));
    sim.run_for(4_000);
    assert_eq!(sim.end_of("unreachable"), Some(&JobEnd::Completed));
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}

#[test]
fn a_hanging_run_is_stopped_and_repeated_elsewhere() {
    let mut sim = Simulation::new(1, 2, TaskBehaviour { run_ms: 200, ..QUICK });
    sim.targets.get_mut(&target_id(0)).unwrap().behaviour = HANGING;
    sim.submit(0, job("hang", 4, 200));
    sim.run_for(1_400);
    assert_eq!(sim.end_of("hang"), Some(&JobEnd::Completed));
    assert_eq!(sim.targets[&target_id(0)].starts.len(), 2);
    assert_eq!(sim.targets[&target_id(1)].starts.len(), 4);
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}
