use kqr_fleet::Resources;
use kqr_types::{ServiceName, TargetId};
use serde::{Deserialize, Serialize};

use crate::QueuedWork;

/// Number of priorities with a separate queue length; all lower priorities share the last one.
pub(crate) const RANKS: usize = 4;

/// Load of an owner.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LoadReport {
    /// Targets of the owner.
    pub(crate) targets: Vec<TargetLoad>,
    /// Work of waiting orders.
    pub(crate) queued: QueuedWork,
    /// Whether the owner is shutting down.
    pub(crate) is_leaving: bool,
}

/// Load of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Identity of the target.
    pub id: TargetId,
    /// Service whose tasks the target runs.
    pub service: ServiceName,
    /// Labels of the target.
    pub labels: Vec<String>,
    /// Total resources for tasks.
    pub capacity: Resources,
    /// Free resources.
    pub free: Resources,
    /// Ratio of run time to estimate on the target.
    pub slowness: f32,
    /// Whether the target accepts new runs.
    pub is_open: bool,
}

impl TargetLoad {
    /// Returns whether `other` describes the same target and differs at most in its load.
    pub(crate) fn has_same_profile(&self, other: &Self) -> bool {
        self.id == other.id
            && self.service == other.service
            && self.labels == other.labels
            && self.capacity == other.capacity
    }
}
