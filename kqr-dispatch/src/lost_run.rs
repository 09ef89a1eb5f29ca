use kqr_types::{Incarnation, TargetId};
use serde::{Deserialize, Serialize};

use crate::RunId;

/// A run that may have been active when its target went down.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LostRun {
    /// Lost run. Two tries of a job at different entries have runs of the same name.
    pub run: RunId,
    /// Target that went down.
    pub target: TargetId,
    /// Its incarnation when the run was started.
    pub life: Incarnation,
}
