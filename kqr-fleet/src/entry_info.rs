use std::net::SocketAddr;

use kqr_types::{DataCentre, Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// Description of an entry for other instances.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryInfo {
    /// Identity.
    pub id: InstanceId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address on which the entry listens for its siblings.
    pub siblings: SocketAddr,
    /// Address on which the entry listens for reports of targets.
    pub reports: SocketAddr,
    /// Processing power, in thousandths of a core. Targets are assigned in proportion to it.
    pub weight: u32,
    /// Whether the entry is shutting down.
    pub is_leaving: bool,
}
