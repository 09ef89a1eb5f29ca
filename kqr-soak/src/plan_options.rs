use std::time::Duration;

use crate::ClusterSize;

/// Options of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanOptions {
    /// Number of processes and targets.
    pub cluster_size: ClusterSize,
    /// Time during which faults start.
    pub length: Duration,
    /// Whether control instances are replaced by others at other addresses, one after the other.
    pub replaces_controls: bool,
}
