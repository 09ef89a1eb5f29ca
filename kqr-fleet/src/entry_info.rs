use std::net::SocketAddr;

use kqr_types::{DataCentre, Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// An entry as the others see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInfo {
    /// Identity.
    pub id: InstanceId,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Listener for sibling entries.
    pub siblings: SocketAddr,
    /// Listener for the reports of targets.
    pub reports: SocketAddr,
    /// Relative processing power; targets are handed out in proportion to it.
    pub weight: u32,
    /// Whether the entry is shutting down.
    pub is_leaving: bool,
}
