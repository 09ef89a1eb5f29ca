//! More work than the targets can do: which new jobs are refused, and how long an accepted one may wait.

use std::time::Duration;

use super::job::{longest_chain, on_time_limit, useful_limit};
use crate::{JobRequest, LoadShedding, expected_wait::ExpectedWait};

/// Times that decide about a job under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TimeLimits {
    /// Run time of the longest chain of steps.
    pub(super) run: Duration,
    /// Time after the arrival until which the answer is on time.
    pub(super) on_time: Duration,
    /// Time after the arrival until which the answer is of some use.
    pub(super) useful: Duration,
}

impl TimeLimits {
    pub(super) fn of(request: &JobRequest) -> Self {
        Self {
            run: longest_chain(request),
            on_time: on_time_limit(request),
            useful: useful_limit(request).min(request.time_left),
        }
    }

    /// Returns whether a job is refused whose tasks are expected to wait for `wait`. Without work ahead of it it never is:
    /// a job that is too wide for the fleet gains nothing from a retry, so its own width counts up to its on-time limit.
    ///
    /// A late answer is worth less than one that is on time, but more than a refusal. So a job that can't be on time is
    /// still admitted while the queue is shorter than its on-time limit. A longer one would make jobs late that arrive
    /// after it, and the excess could not be worked off before it is of no use. The limit of a kind depends only on its
    /// own run time and not on its priority, so that no kind is refused for the sake of late work of another.
    pub(super) fn is_excess(&self, shedding: LoadShedding, wait: ExpectedWait, time_left: Duration) -> bool {
        let ahead_if_late = wait.ahead.saturating_add(wait.ahead_of_late);
        if ahead_if_late.is_zero() {
            return false;
        }
        match shedding {
            LoadShedding::AtDeadline => ahead_if_late > time_left,
            LoadShedding::WhenUseless => {
                let own = wait.own.min(self.on_time) + self.run;
                let is_on_time = wait.ahead.saturating_add(own) <= self.on_time;
                let ahead = if is_on_time { wait.ahead } else { ahead_if_late };
                ahead.saturating_add(own) > self.useful || ahead > self.on_time
            }
        }
    }
}

/// Returns how long a job may wait for its first start if it is given up after `limit`. At least half of it is left for the
/// wait, because the run time is only estimated.
pub(super) fn max_first_wait(shedding: LoadShedding, limit: Duration, run: Duration) -> Duration {
    match shedding {
        LoadShedding::AtDeadline => limit,
        LoadShedding::WhenUseless => limit.saturating_sub(run).max(limit / 2),
    }
}

#[cfg(test)]
mod tests {
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
}
