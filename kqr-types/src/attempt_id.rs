use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{Attempt, KeyDigest, ParseError, TaskIndex};

/// Identifies one attempt to run one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Digest of the job's key.
    pub job: KeyDigest,
    /// Index of the task within its job.
    pub task: TaskIndex,
    /// Number of the attempt, starting at 1.
    pub attempt: Attempt,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.job, self.task, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("attempt id", text, "DIGEST-TASK-ATTEMPT");
        let mut parts = text.split('-');
        let (Some(job), Some(task), Some(attempt), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(error());
        };
        Ok(Self {
            job: job.parse().map_err(|_| error())?,
            task: task.parse().map_err(|_| error())?,
            attempt: attempt.parse().map_err(|_| error())?,
        })
    }
}
