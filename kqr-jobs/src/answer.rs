use std::{fmt, time::Duration};

use kqr_types::{JobKey, TaskIndex};
use serde::{Deserialize, Serialize};

/// Whether work was run, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The work was not run and will not be run.
    NotRun,
    /// It is not known whether the work was run.
    MayHaveRun,
    /// The work was run.
    Ran,
}

impl Outcome {
    /// Combines the outcomes of several tasks: `Ran` if any ran, `NotRun` only if none ran or may have run.
    pub fn of_all<Outcomes>(outcomes: Outcomes) -> Self
    where
        Outcomes: IntoIterator<Item = Self>,
    {
        outcomes.into_iter().max().unwrap_or(Self::NotRun)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        })
    }
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Tasks wait or run.
    Running,
    /// All tasks completed; the answer holds their results.
    Complete,
    /// At least one task did not complete; the answer holds no results.
    Failed,
    /// The caller cancelled the job before it was complete.
    Cancelled,
}

/// Answer for one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// Index of the task in its job.
    pub task: TaskIndex,
    /// Whether the task was run.
    pub outcome: Outcome,
    /// Result of the task; present in complete answers only.
    pub result: Option<String>,
    /// Reason why the task did not complete.
    pub reason: Option<String>,
}

/// Answer of a job, or its current state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobAnswer {
    /// Key of the job.
    pub key: JobKey,
    /// State of the job.
    pub state: JobState,
    /// One answer for each task, in order.
    pub tasks: Vec<TaskAnswer>,
}

impl JobAnswer {
    /// Returns the outcome of the job as a whole: `NotRun` only if no task was run.
    pub fn outcome(&self) -> Outcome {
        Outcome::of_all(self.tasks.iter().map(|task| task.outcome))
    }
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The key was used before with a different body.
    KeyReused,
    /// The expected wait is longer than the deadline, or a queue is full.
    Overloaded,
    /// The team has used up its quota.
    QuotaExceeded,
    /// No target can ever run a task of this size.
    NoSuitableTarget,
    /// The home of the key is unreachable.
    HomeUnreachable,
    /// The member is not ready to act as a home.
    NotReady,
    /// The instance is shutting down.
    ShuttingDown,
    /// An earlier submission may have been lost with the state of its data centre, or its answer is no longer
    /// retained.
    HistoryLost,
    /// No job with the key is known.
    UnknownKey,
}

/// A refusal of a submission or another call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NotAccepted {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether the job was run, as far as it is known.
    pub outcome: Outcome,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Human-readable explanation.
    pub detail: String,
}

impl fmt::Display for NotAccepted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.detail, self.outcome)
    }
}

impl std::error::Error for NotAccepted {}
