use super::*;

const CALLER_MS: u64 = 1_500;

/// Returns the limits of a task of `run_ms` with a slack of 1.6 and a target latency of 60 ms.
fn limits(run_ms: u64) -> TimeLimits {
    let on_time = Duration::from_millis(run_ms).mul_f64(1.6) + Duration::from_millis(60);
    TimeLimits {
        run: Duration::from_millis(run_ms),
        on_time,
        useful: (on_time * 3).min(Duration::from_millis(CALLER_MS)),
    }
}

fn is_excess(run_ms: u64, shedding: LoadShedding, ahead_ms: u64) -> bool {
    let wait = ExpectedWait {
        ahead: Duration::from_millis(ahead_ms),
        ..ExpectedWait::default()
    };
    limits(run_ms).is_excess(shedding, wait, Duration::from_millis(CALLER_MS))
}

/// A job was admitted as long as the wait was below the caller's deadline, although its run came on top of it.
#[test]
fn a_job_that_can_only_end_without_use_is_refused() {
    let shedding = LoadShedding::WhenUseless;
    assert!(!is_excess(760, shedding, 700));
    assert!(is_excess(760, shedding, 800));
    assert!(!is_excess(760, LoadShedding::AtDeadline, 800));
}

#[test]
fn a_job_is_served_late_until_the_queue_exceeds_its_limit() {
    let shedding = LoadShedding::WhenUseless;
    for (run_ms, admitted_ms, refused_ms) in [(51, 140, 145), (170, 330, 335)] {
        assert!(!is_excess(run_ms, shedding, admitted_ms), "{run_ms} ms");
        assert!(is_excess(run_ms, shedding, refused_ms), "{run_ms} ms");
    }
}

/// A job that is too wide for an idle fleet was refused at each retry.
#[test]
fn a_job_is_never_refused_without_work_ahead_of_it() {
    let tight = TimeLimits {
        useful: Duration::from_millis(1),
        ..limits(760)
    };
    let wait = ExpectedWait {
        own: Duration::from_secs(9),
        ..ExpectedWait::default()
    };
    for shedding in [LoadShedding::WhenUseless, LoadShedding::AtDeadline] {
        assert!(!tight.is_excess(shedding, wait, Duration::from_millis(1)));
    }
}

/// Late work of a higher priority never causes the refusal of a job that can be on time.
#[test]
fn late_work_delays_only_late_jobs() {
    let wait = ExpectedWait {
        ahead: Duration::from_millis(100),
        ahead_of_late: Duration::from_secs(9),
        own: Duration::ZERO,
    };
    let caller = Duration::from_millis(CALLER_MS);
    let is_excess = |run_ms| limits(run_ms).is_excess(LoadShedding::WhenUseless, wait, caller);
    assert!(!is_excess(760), "on time in spite of the wait");
    assert!(is_excess(51), "behind the late work");
}

#[test]
fn a_job_waits_only_while_its_run_can_still_be_of_use() {
    let (limit, run) = (Duration::from_millis(1_500), Duration::from_millis(400));
    let wait = max_first_wait(LoadShedding::WhenUseless, limit, run);
    assert_eq!(wait, Duration::from_millis(1_100));
    assert_eq!(max_first_wait(LoadShedding::WhenUseless, limit, limit), limit / 2);
    assert_eq!(max_first_wait(LoadShedding::AtDeadline, limit, run), limit);
}
