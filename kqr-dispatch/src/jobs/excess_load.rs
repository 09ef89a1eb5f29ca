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
mod tests;
