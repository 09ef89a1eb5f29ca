use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    /// All tasks are done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// Nothing of the job was started, and nothing will be.
    Refused {
        /// Why.
        cause: RefusalCause,
        /// When it may be worth another try.
        retry_after: Duration,
    },
    /// The job was given up after tasks were started; they are stopped.
    GivenUp(GiveUp),
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RefusalCause {
    /// The expected wait is longer than the job's time.
    Overload,
    /// No known target can run a task of the job.
    NoTarget,
    /// The time was over before a task could be started.
    Expired,
    /// The entry has more tasks than it may keep.
    TooManyTasks,
    /// The entry ends before the job could.
    Leaving,
}

impl RefusalCause {
    /// Returns the cause as a word for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::NoTarget => "no-target",
            Self::Expired => "expired",
            Self::TooManyTasks => "too-many-tasks",
            Self::Leaving => "leaving",
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
    /// Its time was over.
    Deadline,
    /// Its caller cancelled it.
    Cancelled,
    /// The entry stood still; the caller may have turned to another one.
    Standstill,
    /// The entry ends.
    Leaving,
}

impl GiveUp {
    /// Returns the cause as a word for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::Standstill => "standstill",
            Self::Leaving => "leaving",
        }
    }
}
