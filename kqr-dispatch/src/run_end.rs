use serde::{Deserialize, Serialize};

/// How an order ended. In each case nothing of the run is left at any target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The run failed, by its own fault or the target's.
    Failed,
    /// The run may have begun and has certainly ended without a result.
    Lost,
    /// The run never began.
    NotRun(NotRun),
}

/// Why a run never began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum NotRun {
    /// Its time was over before a target had room.
    Expired,
    /// The target has seen an attempt that is as high.
    Superseded,
    /// The target refused it.
    Refused,
    /// The owner has no target that may run it.
    NoTarget,
    /// The coordinator took the order back.
    Cancelled,
}
