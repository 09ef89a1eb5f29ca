use std::time::Duration;

use kqr_types::ServiceName;
use serde::{Deserialize, Serialize};

/// A queue that callers submit jobs to, addressed by host and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host that callers address.
    pub host: String,
    /// Prefix of the paths that belong to the queue. The rest of the path identifies a job.
    pub path_prefix: String,
    /// Service whose targets run the tasks.
    pub service: ServiceName,
    /// Priority among the queues. 0 is the highest.
    pub priority: u32,
    /// Number of failed attempts of a task after which its job fails.
    pub max_attempts: u32,
    /// Factor by which a response on time may exceed the ideal response time.
    pub slack_factor: f64,
    /// Time by which a response on time may exceed the ideal response time multiplied by `slack_factor`.
    pub objective: Duration,
    /// Maximum time until a response.
    pub timeout: Duration,
}
