use std::time::Duration;

use kqr_placement::TargetKind;

/// Limits of the admission queue.
#[derive(Clone, Debug)]
pub struct Options {
    /// Kind of targets that the tasks are placed on.
    pub kind: TargetKind,
    /// Expected wait for its first slot with which a job is always admitted, its deadline permitting.
    pub queue_wait: Duration,
    /// Part of its deadline that a job may be expected to wait for its first slot, if that is longer.
    pub deadline_part: f64,
    /// Longest expected wait of an admitted job of a team that is over its quota.
    pub over_quota_wait: Duration,
    /// Part of its run time that a job with long work may be expected to wait.
    pub long_wait_part: f64,
    /// Longest time that a task waits for a faster slot while slower ones are free.
    pub faster_wait: Duration,
    /// Time that a task waits for a slot of this instance before one of a sibling is asked for.
    pub forward_wait: Duration,
    /// Expected run time of a class of which nothing is known and nothing was declared.
    pub default_run_time: Duration,
    /// Shortest time told to a refused caller.
    pub least_retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            kind: TargetKind::Worker,
            queue_wait: Duration::from_millis(250),
            deadline_part: 0.125,
            over_quota_wait: Duration::from_millis(50),
            long_wait_part: 1.0,
            faster_wait: Duration::from_millis(100),
            forward_wait: Duration::from_millis(10),
            default_run_time: Duration::from_millis(200),
            least_retry_after: Duration::from_millis(100),
        }
    }
}
