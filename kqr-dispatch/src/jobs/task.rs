use kqr_types::{Instant, TargetId};

use crate::OrderId;

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    /// It may be ordered at or after this instant.
    Ready(Instant),
    /// It has an open order.
    Ordered(OrderId),
    /// It completed.
    Done,
}

/// A task of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Task {
    pub(super) state: TaskState,
    /// Attempt number of the last ordered run.
    pub(super) attempt: u32,
    /// Number of failed runs.
    pub(super) failures: u32,
    /// Number of times that a waiting order was taken back.
    pub(super) moves: u32,
    /// Targets on which a run did not complete.
    pub(super) avoided_targets: Vec<TargetId>,
}

impl Task {
    pub(super) fn new(place_from: Instant) -> Self {
        Self {
            state: TaskState::Ready(place_from),
            attempt: 0,
            failures: 0,
            moves: 0,
            avoided_targets: Vec::new(),
        }
    }
}
