use kqr_types::{Attempt, TargetId};

use crate::{Outcome, Phase, TaskRecord};

/// State of one task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Task {
    /// The part of the state that is replicated to other members.
    pub record: TaskRecord,
    /// Whether this member has emitted the start of the current attempt or a query for it, and so handles its
    /// end.
    pub is_tracked: bool,
    /// Targets that did not start the task.
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

    /// Returns whether the task was run, as far as it is known. A waiting task may still be run.
    pub fn outcome(&self) -> Outcome {
        match &self.record.phase {
            Phase::Waiting | Phase::Intended { .. } => Outcome::MayHaveRun,
            Phase::Ended(result) => result.outcome(),
        }
    }

    /// Adopts `record` if its progress is greater, or if it is equal and `is_preferred`.
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

/// Returns the sort key of a state in the order of progress.
fn progress(record: &TaskRecord) -> (kqr_types::Attempt, u8) {
    let phase = match record.phase {
        Phase::Intended { .. } => 0,
        Phase::Waiting => 1,
        Phase::Ended(_) => 2,
    };
    (record.attempt, phase)
}
