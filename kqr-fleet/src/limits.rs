use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits for the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive the head of a request.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle between two requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until a catalog is in force.
    fn default() -> Self {
        Self {
            body_bytes: 256 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
