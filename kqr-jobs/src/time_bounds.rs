use std::time::Duration;

use kqr_types::{Instant, ServiceName};

/// Time limits that a caller declared for a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimeBounds {
    /// Service that runs the task.
    pub service: ServiceName,
    /// Instant until which the caller waits for the answer.
    pub deadline: Instant,
    /// Declared run time, which may be inaccurate.
    pub run_time: Option<Duration>,
}
