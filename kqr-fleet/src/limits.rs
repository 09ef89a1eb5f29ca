use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits for the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Longest time that a connection stays open between two requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The limits that hold until a catalog names others.
    fn default() -> Self {
        Self {
            body_bytes: 256 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
