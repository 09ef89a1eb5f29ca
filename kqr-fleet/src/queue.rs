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
    /// Beginning of the paths that belong to the queue; what follows it names a job.
    pub path_prefix: String,
    /// Service whose targets run the tasks.
    pub service: ServiceName,
    /// Rank among the queues; 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail before its job has failed.
    pub max_attempts: u32,
    /// Factor of the ideal response time that is still on time.
    pub slack_factor: f64,
    /// Time beyond the scaled ideal response that is still on time.
    pub objective: Duration,
    /// Longest time for an answer.
    pub timeout: Duration,
}
