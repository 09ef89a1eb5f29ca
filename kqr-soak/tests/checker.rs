//! Each invariant: violations are reported, and allowed behaviour is not.

use std::time::{Duration, Instant};

use kqr_soak::{InvariantChecker, JobAnswer, RunEnding, Violation};

fn checker() -> InvariantChecker {
    let mut checker = InvariantChecker::default();
    checker.record_submission("job", 2, 2);
    checker
}

#[test]
fn a_task_running_at_two_targets_is_a_violation() {
    let mut checker = checker();
    checker.record_start(Instant::now(), "job", "job.0", "a");
    checker.record_start(Instant::now(), "job", "job.0", "b");
    assert!(matches!(checker.violations(), [Violation::AtWorkTwice { .. }]));
}

#[test]
fn a_task_that_starts_again_after_a_failure_is_no_violation() {
    let mut checker = checker();
    checker.record_start(Instant::now(), "job", "job.0", "a");
    checker.record_end("job", "job.0", RunEnding::Failed);
    checker.record_start(Instant::now(), "job", "job.0", "b");
    assert!(checker.violations().is_empty());
}

#[test]
fn an_acknowledged_task_that_starts_again_is_a_violation_unless_its_job_was_sent_again() {
    for (submissions, is_acknowledged, violations) in [(1, true, 1), (1, false, 0), (2, true, 0)] {
        let mut checker = checker();
        for _ in 1..submissions {
            checker.record_submission("job", 2, 2);
        }
        checker.record_start(Instant::now(), "job", "job.0", "a");
        checker.record_end("job", "job.0", RunEnding::Done);
        if is_acknowledged {
            checker.record_acknowledged_end("job", "job.0");
        }
        checker.record_start(Instant::now(), "job", "job.0", "b");
        assert_eq!(checker.violations().len(), violations);
    }
}

#[test]
fn a_completed_job_with_an_unfinished_task_is_a_violation() {
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
fn a_job_that_fails_before_a_task_used_up_its_attempts_is_a_violation() {
    let mut checker = checker();
    checker.record_end("job", "job.0", RunEnding::Failed);
    checker.record_answer("job", JobAnswer::Failed);
    assert!(matches!(
        checker.violations(),
        [Violation::FailedWithoutCause { .. }]
    ));
}

#[test]
fn a_refused_job_must_not_run_before_or_after_the_answer() {
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
fn a_start_at_a_leaving_target_is_a_violation_after_the_grace_time() {
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
fn a_read_older_than_an_acknowledged_version_is_a_violation() {
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
fn a_done_task_may_start_again_around_a_fault() {
    let (mut checker, now) = (checker(), Instant::now());
    checker.fault_activity().record_start(now);
    checker.record_start(now, "job", "job.0", "a");
    checker.record_end("job", "job.0", RunEnding::Done);
    checker.record_acknowledged_end("job", "job.0");
    checker.record_start(now, "job", "job.0", "b");
    assert!(checker.violations().is_empty());
}
