use kqr_types::Incarnation;
use serde::{Deserialize, Serialize};

/// Outcome of an order. In each case the run is no longer active on any target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RunEnd {
    /// The task completed.
    Done,
    /// The run failed because of the task or the target.
    Failed,
    /// The run may have begun, and has ended without a result.
    Lost,
    /// The run did not begin and will not.
    NotRun(NotRun),
    /// The run may have begun, and its target, which had this incarnation, went down.
    TargetLost(Incarnation),
}

/// Why a run did not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum NotRun {
    /// The time limit for its start passed before a target had free capacity.
    Expired,
    /// The target has seen the same or a higher attempt of the task.
    Superseded,
    /// The target refused the start, or it could not be sent.
    Refused,
    /// The owner has no suitable target, or is shutting down.
    NoTarget,
    /// The coordinator cancelled the order.
    Cancelled,
}
