use std::time::Duration;

use kqr_placement::TargetKind;

/// Options of the admission queue.
#[derive(Clone, Debug)]
pub struct Options {
    /// Kind of targets that tasks are placed on.
    pub kind: TargetKind,
    /// Expected wait for the first slot up to which a job is always admitted if its deadline permits.
    pub max_queue_wait: Duration,
    /// Fraction of its deadline that a job may be expected to wait for its first slot, if that is longer than
    /// `max_queue_wait`.
    pub max_wait_deadline_fraction: f64,
    /// Maximum expected wait of an admitted job whose team is over its quota.
    pub max_over_quota_wait: Duration,
    /// Fraction of its run time that a job with long work may be expected to wait.
    pub max_long_wait_fraction: f64,
    /// Maximum time that a task waits for a faster slot while slower ones are free.
    pub max_faster_slot_wait: Duration,
    /// Time that a task waits for a slot of this instance before it may be forwarded to a sibling.
    pub forward_delay: Duration,
    /// Expected run time of a class that has neither a learned nor a declared run time.
    pub default_run_time: Duration,
    /// Minimum retry delay returned to a refused caller.
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
