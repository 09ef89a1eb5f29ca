use serde::{Deserialize, Serialize};

/// A service: the pool of targets that run the tasks of the queues that use it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePool {
    /// Maximum number of connections to one target.
    pub max_connections: u32,
    /// Whether the targets refuse tasks that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether the targets are switched off.
    pub is_standby: bool,
}
