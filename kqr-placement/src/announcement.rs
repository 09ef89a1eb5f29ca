use kqr_types::{ByteSize, Incarnation, Rack, ServiceName, Slots, TargetId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Kind of work that a target accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// Serves individual requests.
    Runner,
    /// Runs tasks of jobs under leases.
    Worker,
}

/// Description that a target publishes of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Identity, stable across restarts.
    pub id: TargetId,
    /// Incarnation, which increases with every restart.
    pub incarnation: Incarnation,
    /// Kind of work that it accepts.
    pub kind: TargetKind,
    /// Service that it serves.
    pub service: ServiceName,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Maximum number of concurrent tasks or requests.
    pub slots: Slots,
    /// Maximum number of concurrent connections.
    pub connections: u32,
    /// Rack that it is installed in.
    pub rack: Rack,
    /// Number of CPU cores.
    pub cores: u32,
    /// Memory size.
    pub memory: ByteSize,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}
