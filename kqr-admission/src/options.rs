use std::time::Duration;

use kqr_placement::TargetKind;

/// Limits of the admission queue.
#[derive(Clone, Debug)]
pub struct Options {
    /// Kind of targets that the tasks are placed on.
    pub kind: TargetKind,
    /// Expected wait for its first slot with which a job is always admitted, its deadline permitting.
    pub max_queue_wait: Duration,
    /// Part of its deadline that a job may be expected to wait for its first slot, if that is longer.
    pub max_wait_deadline_fraction: f64,
    /// Longest expected wait of an admitted job of a team that is over its quota.
    pub max_over_quota_wait: Duration,
    /// Part of its run time that a job with long work may be expected to wait.
    pub max_long_wait_fraction: f64,
    /// Longest time that a task waits for a faster slot while slower ones are free.
    pub max_faster_slot_wait: Duration,
    /// Time that a task waits for a slot of this instance before one of a sibling is asked for.
    pub forward_delay: Duration,
    /// Expected run time of a class of which nothing is known and nothing was declared.
    pub default_run_time: Duration,
    /// Shortest time told to a refused caller.
    pub min_retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            kind: TargetKind::Worker,
            max_queue_wait: Duration::from_millis(250),
            max_wait_deadline_fraction: 0.125,
            max_over_quota_wait: Duration::from_millis(50),
            max_long_wait_fraction: 1.0,
            max_faster_slot_wait: Duration::from_millis(100),
            forward_delay: Duration::from_millis(10),
            default_run_time: Duration::from_millis(200),
            min_retry_after: Duration::from_millis(100),
        }
    }
}
