use std::time::Duration;

use kqr_types::{Attempt, ByteSize, ClassName, JobKey, ServiceName, TeamName};
use serde::{Deserialize, Serialize};

/// One task of a submission, as declared by its caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Class of tasks with similar run times.
    pub class: ClassName,
    /// Payload that the target gets unchanged.
    pub payload: String,
    /// Declared run time, which may be inaccurate.
    pub run_time: Option<Duration>,
    /// Declared number of CPU cores.
    pub cores: u32,
    /// Declared memory.
    pub memory: ByteSize,
    /// Declared number of accelerators.
    pub accelerators: u32,
}

/// A job as submitted by its caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Submission {
    /// Idempotency key of the submission.
    pub key: JobKey,
    /// Number of this submission among those of the caller with the same key; 2 and higher mark a
    /// resubmission.
    pub attempt: Option<Attempt>,
    /// Team whose quota the tasks count against.
    pub team: TeamName,
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Time for which the caller waits for the answer, from the arrival at the entry.
    pub deadline: Duration,
    /// Digest of the body, to detect a different body under the same key.
    pub fingerprint: u64,
    /// Tasks, 1 to [`Self::MAX_TASKS`].
    pub tasks: Vec<TaskSpec>,
}

impl Submission {
    /// Maximum number of tasks of one job.
    pub const MAX_TASKS: usize = 190;
}
