use kqr_types::{Attempt, TargetId};

use crate::{Outcome, Phase, TaskRecord};

/// State of one task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Task {
    /// The part that is copied to other members.
    pub record: TaskRecord,
    /// Whether this machine put out the start of the present attempt or a question about it.
    pub is_tracked: bool,
    /// Targets that did not start the task or failed it.
    pub avoid: Vec<TargetId>,
}

impl Task {
    /// Creates a task that waits for its first slot.
    pub fn new() -> Self {
        Self::from(TaskRecord {
            attempt: Attempt(0),
            phase: Phase::Waiting,
        })
    }

    /// Returns whether the task has its final result.
    pub fn is_ended(&self) -> bool {
        matches!(self.record.phase, Phase::Ended(_))
    }

    /// Returns whether the task waits for a slot.
    pub fn is_waiting(&self) -> bool {
        matches!(self.record.phase, Phase::Waiting)
    }

    /// Returns what is known of whether the task was run. A waiting task may still be run.
    pub fn outcome(&self) -> Outcome {
        match &self.record.phase {
            Phase::Waiting | Phase::Intended { .. } => Outcome::MayHaveRun,
            Phase::Ended(result) => result.outcome(),
        }
    }

    /// Takes over `record` if it is later than the own one, or equally late and preferred.
    pub fn merge(&mut self, record: TaskRecord, is_preferred: bool) {
        let is_later = progress(&record) > progress(&self.record);
        let is_as_late = progress(&record) == progress(&self.record);
        if is_later || (is_as_late && is_preferred && record != self.record) {
            self.record = record;
            self.is_tracked = false;
        }
    }
}

impl From<TaskRecord> for Task {
    fn from(record: TaskRecord) -> Self {
        Self {
            record,
            is_tracked: false,
            avoid: Vec::new(),
        }
    }
}

/// Returns the place of a state in the order of a task's life.
fn progress(record: &TaskRecord) -> (kqr_types::Attempt, u8) {
    let phase = match record.phase {
        Phase::Intended { .. } => 0,
        Phase::Waiting => 1,
        Phase::Ended(_) => 2,
    };
    (record.attempt, phase)
}
