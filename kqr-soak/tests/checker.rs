//! Each promise: what breaks it is told, and what is allowed is not.

use std::time::{Duration, Instant};

use kqr_soak::{InvariantChecker, JobAnswer, RunEnding, Violation};

fn checker() -> InvariantChecker {
    let mut checker = InvariantChecker::default();
    checker.record_submission("job", 2, 2);
    checker
}

#[test]
fn a_task_at_two_targets_is_a_breach() {
    let mut checker = checker();
    checker.record_start(Instant::now(), "job", "job.0", "a");
    checker.record_start(Instant::now(), "job", "job.0", "b");
    assert!(matches!(checker.violations(), [Violation::AtWorkTwice { .. }]));
}

#[test]
fn a_task_that_begins_again_after_it_failed_is_none() {
    let mut checker = checker();
    checker.record_start(Instant::now(), "job", "job.0", "a");
    checker.record_end("job", "job.0", RunEnding::Failed);
    checker.record_start(Instant::now(), "job", "job.0", "b");
    assert!(checker.violations().is_empty());
}

#[test]
fn a_task_that_is_known_to_be_done_and_begins_again_is_a_breach_unless_its_caller_sent_it_again() {
    for (sent, is_noted, violations) in [(1, true, 1), (1, false, 0), (2, true, 0)] {
        let mut checker = checker();
        for _ in 1..sent {
            checker.record_submission("job", 2, 2);
        }
        checker.record_start(Instant::now(), "job", "job.0", "a");
        checker.record_end("job", "job.0", RunEnding::Done);
        if is_noted {
            checker.record_acknowledged_end("job", "job.0");
        }
        checker.record_start(Instant::now(), "job", "job.0", "b");
        assert_eq!(checker.violations().len(), violations);
    }
}

#[test]
fn a_job_is_complete_with_all_its_tasks_only() {
    let mut checker = checker();
    checker.record_start(Instant::now(), "job", "job.0", "a");
    checker.record_end("job", "job.0", RunEnding::Done);
    checker.record_answer("job", JobAnswer::Completed);
    assert!(matches!(
        checker.violations(),
        [Violation::Partial {
            done: 1,
            tasks: 2,
            ..
        }]
    ));
}

#[test]
fn a_job_fails_at_its_bound_of_attempts_only() {
    let mut checker = checker();
    checker.record_end("job", "job.0", RunEnding::Failed);
    checker.record_answer("job", JobAnswer::Failed);
    assert!(matches!(
        checker.violations(),
        [Violation::FailedWithoutCause { .. }]
    ));
}

#[test]
fn not_run_must_be_true_before_and_after_the_answer() {
    for starts_first in [true, false] {
        let mut checker = checker();
        if starts_first {
            checker.record_start(Instant::now(), "job", "job.0", "a");
        }
        checker.record_answer("job", JobAnswer::Refused);
        if !starts_first {
            checker.record_start(Instant::now(), "job", "job.0", "a");
        }
        assert!(matches!(
            checker.violations(),
            [Violation::RanThoughRefused { .. }]
        ));
    }
}

#[test]
fn a_leaving_target_gets_no_new_work_after_some_seconds() {
    let (mut checker, now) = (checker(), Instant::now());
    checker.record_leaving_target(now, "a");
    checker.record_start(now + Duration::from_secs(1), "job", "job.0", "a");
    assert!(checker.violations().is_empty());
    checker.record_start(now + Duration::from_secs(5), "job", "job.1", "a");
    assert!(matches!(
        checker.violations(),
        [Violation::StartWhileLeaving { .. }]
    ));
}

#[test]
fn a_read_must_not_be_older_than_what_was_acknowledged() {
    let mut checker = checker();
    checker.record_acknowledged_version(7);
    checker.check_read(7, checker.newest_acknowledged_version());
    assert!(checker.violations().is_empty());
    checker.check_read(5, checker.newest_acknowledged_version());
    assert_eq!(
        checker.violations(),
        [Violation::Stale {
            read: 5,
            acknowledged: 7
        }]
    );
}

#[test]
fn a_done_task_may_begin_again_when_a_fault_is_near() {
    let (mut checker, now) = (checker(), Instant::now());
    checker.fault_activity().record_start(now);
    checker.record_start(now, "job", "job.0", "a");
    checker.record_end("job", "job.0", RunEnding::Done);
    checker.record_acknowledged_end("job", "job.0");
    checker.record_start(now, "job", "job.0", "b");
    assert!(checker.violations().is_empty());
}
