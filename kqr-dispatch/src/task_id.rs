use std::{fmt, str::FromStr};

use kqr_types::{JobKey, ParseError};
use serde::{Deserialize, Serialize};

/// Format of a task identifier, for error messages.
const ALLOWED: &str = "JOB.OCCURRENCE.STEP.INDEX";

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Key of the job.
    pub job: JobKey,
    /// Occurrence of a repeated job, from 0.
    pub occurrence: u32,
    /// Index of the step within the job, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("task", text, ALLOWED);
        let mut parts = text.rsplitn(4, '.');
        let mut number = || -> Option<u32> { parts.next()?.parse().ok() };
        let (index, step, occurrence) = (number(), number(), number());
        let job = parts.next().ok_or_else(error)?.parse()?;
        Ok(Self {
            job,
            occurrence: occurrence.ok_or_else(error)?,
            step: step.ok_or_else(error)?,
            index: index.ok_or_else(error)?,
        })
    }
}

/// One run of a task. Later runs of a task have higher attempts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// Task that the run executes.
    pub task: TaskId,
    /// Attempt number, from 1; attempts may be skipped.
    pub attempt: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}
