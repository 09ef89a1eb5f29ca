use std::{fmt, time::Duration};

use kqr_types::{JobKey, TaskIndex};
use serde::{Deserialize, Serialize};

/// What is known of whether work was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The work was not run and will not be run.
    NotRun,
    /// It can't be known whether the work was run.
    MayHaveRun,
    /// The work was run.
    Ran,
}

impl Outcome {
    /// Returns the outcome of several tasks as a whole: `Ran` if any was run, `NotRun` only if none was or may have been.
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
    /// Each task was completed and its result is in the answer.
    Complete,
    /// At least one task was not completed; the answer holds no results.
    Failed,
    /// The caller cancelled the job before it was complete.
    Cancelled,
}

/// The part of a job's answer that belongs to one task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// Position of the task.
    pub task: TaskIndex,
    /// Whether the task was run.
    pub outcome: Outcome,
    /// Result of the task; present in complete answers only.
    pub result: Option<String>,
    /// Reason why the task was not completed.
    pub reason: Option<String>,
}

/// The whole answer of a job, or its present state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobAnswer {
    /// Key of the job.
    pub key: JobKey,
    /// State of the job.
    pub state: JobState,
    /// One part for each task, in order.
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
    /// The key was used before with another body.
    KeyReused,
    /// The expected wait is longer than the deadline, or a queue is full.
    Overloaded,
    /// The team has used up its quota.
    QuotaExceeded,
    /// No target can ever run a task of this size.
    NoSuitableTarget,
    /// The home of the key can't be reached.
    HomeUnreachable,
    /// The member is not ready to home keys.
    NotReady,
    /// The instance is shutting down.
    ShuttingDown,
    /// An earlier try may have been lost with the state of its data centre, or its answer is no longer kept.
    HistoryLost,
    /// No job with the key is known.
    UnknownKey,
}

/// A refusal: the submission was not accepted here.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NotAccepted {
    /// Why the submission was refused.
    pub reason: RefusalReason,
    /// What is known of whether it was run.
    pub outcome: Outcome,
    /// Time after which another try may help.
    pub retry_after: Option<Duration>,
    /// Explanation for a person.
    pub detail: String,
}

impl fmt::Display for NotAccepted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.detail, self.outcome)
    }
}

impl std::error::Error for NotAccepted {}
