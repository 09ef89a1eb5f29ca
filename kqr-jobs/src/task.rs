use kqr_types::{Attempt, TargetId};

use crate::{Outcome, TaskResult};

/// Place of a task in its life.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Waits for a slot.
    Waiting,
    /// An intent was recorded; the target may run the task.
    Intended(TargetId),
    /// Ended with a result that is final.
    Ended(TaskResult),
}

/// State of one task.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    /// Place in its life.
    pub phase: Phase,
    /// Number of the last attempt; 0 before the first.
    pub attempt: Attempt,
    /// Targets that did not start the task or failed it.
    pub avoid: Vec<TargetId>,
}

impl Task {
    /// Creates a task that waits for its first slot.
    pub fn new() -> Self {
        Self {
            phase: Phase::Waiting,
            attempt: Attempt(0),
            avoid: Vec::new(),
        }
    }

    /// Returns whether the task has its final result.
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    /// Returns what is known of whether the task was run.
    pub fn outcome(&self) -> Outcome {
        match &self.phase {
            Phase::Waiting => Outcome::NotRun,
            Phase::Intended(_) => Outcome::MayHaveRun,
            Phase::Ended(result) => result.outcome(),
        }
    }
}
