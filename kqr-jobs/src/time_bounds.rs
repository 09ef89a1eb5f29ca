use std::time::Duration;

use kqr_types::{Instant, ServiceName};

/// What a caller said of the time that a task may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimeBounds {
    /// Service that runs the task.
    pub service: ServiceName,
    /// Instant by which the caller wants the answer.
    pub deadline: Instant,
    /// Declared run time; it may be far off.
    pub run_time: Option<Duration>,
}
