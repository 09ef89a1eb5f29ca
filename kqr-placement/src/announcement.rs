use kqr_types::{ByteSize, Incarnation, Rack, ServiceName, Slots, TargetId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// Serves single requests.
    Runner,
    /// Runs tasks of jobs under leases.
    Worker,
}

/// What a target tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Identity, kept over restarts.
    pub id: TargetId,
    /// Number of its present life.
    pub incarnation: Incarnation,
    /// Kind of work that it takes.
    pub kind: TargetKind,
    /// Service that it serves.
    pub service: ServiceName,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Tasks or requests that it runs at the same time.
    pub slots: Slots,
    /// Connections that it accepts at the same time.
    pub connections: u32,
    /// Rack that it stands in.
    pub rack: Rack,
    /// Number of its cores.
    pub cores: u32,
    /// Size of its memory.
    pub memory: ByteSize,
    /// Number of its accelerators.
    #[serde(default)]
    pub accelerators: u32,
}
