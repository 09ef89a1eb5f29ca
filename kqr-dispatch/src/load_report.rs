use kqr_fleet::Resources;
use kqr_types::{ServiceName, TargetId};
use serde::{Deserialize, Serialize};

/// Number of ranks that loads are told apart by; lower ranks count as the last one.
pub(crate) const RANKS: usize = 4;

/// What an owner tells its siblings, several times a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The owner's targets that take work.
    pub targets: Vec<TargetLoad>,
    /// Work that waits at the owner, by rank, in core-milliseconds.
    pub queued: [u64; RANKS],
    /// Whether the owner is shutting down.
    pub is_leaving: bool,
}

/// Load of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Target.
    pub id: TargetId,
    /// Service.
    pub service: ServiceName,
    /// Labels.
    pub labels: Vec<String>,
    /// What it has for tasks.
    pub capacity: Resources,
    /// What is free.
    pub free: Resources,
    /// Run time on the target over the estimate.
    pub slowness: f32,
    /// Whether it takes new work now.
    pub is_open: bool,
}
