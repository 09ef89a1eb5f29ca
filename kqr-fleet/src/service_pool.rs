use serde::{Deserialize, Serialize};

/// A service: the pool of targets that run the tasks of its queues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePool {
    /// Most connections to one target.
    pub max_connections: u32,
    /// Whether the targets refuse what exceeds their capacity.
    pub enforces_capacity: bool,
    /// Whether the targets are switched off.
    pub is_standby: bool,
}
