use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Outcome of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    /// All tasks completed.
    Completed,
    /// A task used up the attempts that its queue allows.
    Failed,
    /// No task of the job was started, and none will be.
    Refused {
        /// Reason for the refusal.
        cause: RefusalCause,
        /// Suggested delay before the caller retries.
        retry_after: Duration,
    },
    /// The job was given up after tasks may have started; they are stopped.
    GivenUp(GiveUp),
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RefusalCause {
    /// The expected wait exceeds the time left for the job.
    Overload,
    /// A step depends on itself, on a later step or on one that does not exist.
    InvalidSteps,
    /// No known target can run a task of the job.
    NoTarget,
    /// The deadline passed before a task could be started.
    Expired,
    /// The job would exceed the entry's limit of tasks.
    TooManyTasks,
    /// The entry shuts down before the job could complete.
    Leaving,
    /// The messages of the job would not pass the link in time.
    LinkBusy,
    /// A part of the job exceeds its limit, so that a retry would be refused as well.
    TooLarge,
}

impl RefusalCause {
    /// Returns the cause as a word for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::InvalidSteps => "invalid-steps",
            Self::NoTarget => "no-target",
            Self::Expired => "expired",
            Self::TooManyTasks => "too-many-tasks",
            Self::Leaving => "leaving",
            Self::LinkBusy => "link-busy",
            Self::TooLarge => "too-large",
        }
    }
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a job was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum GiveUp {
    /// Its deadline passed.
    Deadline,
    /// Its caller cancelled it.
    Cancelled,
    /// The process of the entry was suspended; the caller may have submitted the job to another entry.
    Standstill,
    /// The entry heard no other process for a time; the caller may have submitted the job to another entry.
    Isolated,
    /// The entry shut down.
    Leaving,
}

impl GiveUp {
    /// Returns the cause as a word for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::Standstill => "standstill",
            Self::Isolated => "isolated",
            Self::Leaving => "leaving",
        }
    }
}
