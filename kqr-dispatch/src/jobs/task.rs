use kqr_types::{Instant, TargetId};

use crate::OrderId;

/// Where a task is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    /// It may be ordered from the instant on.
    Ready(Instant),
    /// It is ordered.
    Ordered(OrderId),
    /// It is done.
    Done,
}

/// A task of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Task {
    pub(super) state: TaskState,
    /// Number of the last run that was ordered.
    pub(super) attempt: u32,
    /// Runs that failed.
    pub(super) failures: u32,
    /// Targets on which a run ended badly.
    pub(super) avoided_targets: Vec<TargetId>,
}

impl Task {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            state: TaskState::Ready(now),
            attempt: 0,
            failures: 0,
            avoided_targets: Vec::new(),
        }
    }
}
