use std::time::Duration;

use kqr_types::{Attempt, ByteSize, ClassName, JobKey, ServiceName, TeamName};
use serde::{Deserialize, Serialize};

/// One task of a submission as its caller declared it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Class of tasks with similar run times.
    pub class: ClassName,
    /// Text handed to the target unchanged.
    pub payload: String,
    /// Declared run time; it may be far off.
    pub run_time: Option<Duration>,
    /// Declared number of cores.
    pub cores: u32,
    /// Declared memory.
    pub memory: ByteSize,
    /// Declared number of accelerators.
    pub accelerators: u32,
}

/// A job as its caller submitted it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Submission {
    /// Idempotency key of the submission.
    pub key: JobKey,
    /// Number of the caller's try; 2 and up marks a resubmission.
    pub attempt: Option<Attempt>,
    /// Team that the work is counted for.
    pub team: TeamName,
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Time that the caller is willing to wait, from the arrival at the entry.
    pub deadline: Duration,
    /// Digest of the body, to tell another body under the same key.
    pub fingerprint: u64,
    /// Tasks, 1 to 190.
    pub tasks: Vec<TaskSpec>,
}

impl Submission {
    /// Most tasks of one job.
    pub const MAX_TASKS: usize = 190;
}
