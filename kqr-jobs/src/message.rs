use std::time::Duration;

use kqr_types::{Attempt, CellView, Epoch, Incarnation, KeyDigest, TargetId, TaskIndex};
use serde::{Deserialize, Serialize};

use crate::{Submission, TaskResult, TombstoneKind};

/// A message between the job machines of two members of a cell.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum JobMessage {
    /// Changes of the sender's records, in order.
    Updates {
        /// Epoch of the sender.
        epoch: Epoch,
        /// Position of the first update in the sender's stream of this epoch.
        first: u64,
        /// The updates.
        updates: Vec<Update>,
    },
    /// Updates that were applied.
    Ack {
        /// Epoch of the sender.
        epoch: Epoch,
        /// Position of the first update that was not applied.
        next: u64,
    },
}

/// One change in a stream between two members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Update {
    /// The whole record of a job: a claim with its first intents, or a copy.
    Record(Box<JobRecord>),
    /// The state of one task: an intent, an outcome, or the return to the queue.
    Task {
        /// The job.
        job: KeyDigest,
        /// Position of the task.
        task: TaskIndex,
        /// The state.
        state: TaskRecord,
    },
    /// A caller cancelled the job.
    Cancelled {
        /// The job.
        job: KeyDigest,
    },
    /// Each follower has the final state of the job.
    Settled {
        /// The job.
        job: KeyDigest,
    },
    /// Only this remains of a job or key.
    Tombstone {
        /// The job.
        job: KeyDigest,
        /// What remains of it.
        #[serde(rename = "remains")]
        kind: TombstoneKind,
        /// Time for which it is remembered.
        remaining: Duration,
    },
    /// The sender acts no more under earlier epochs, and sent all that the receiver must know of them.
    Sealed(Seal),
    /// The receivers of the sender's records have acknowledged their copies.
    Complete,
}

impl Update {
    /// Bytes of an update or of one task without its texts.
    const BASE_BYTES: usize = 128;

    /// Returns about how many bytes the update takes in a message.
    pub(crate) fn bytes(&self) -> usize {
        match self {
            Self::Record(record) => {
                let specs = record.submission.tasks.iter();
                let payloads: usize = specs.map(|spec| spec.payload.len() + Self::BASE_BYTES).sum();
                let tasks: usize = record.tasks.iter().map(TaskRecord::bytes).sum();
                Self::BASE_BYTES + payloads + tasks
            }
            Self::Task { state, .. } => Self::BASE_BYTES + state.bytes(),
            Self::Cancelled { .. }
            | Self::Settled { .. }
            | Self::Tombstone { .. }
            | Self::Sealed(_)
            | Self::Complete => Self::BASE_BYTES,
        }
    }
}

impl TaskRecord {
    fn bytes(&self) -> usize {
        let text = match &self.phase {
            Phase::Ended(result) => result.text().len(),
            Phase::Intended { .. } | Phase::Waiting => 0,
        };
        size_of::<Self>() + text
    }
}

/// What a member knows of earlier epochs when it enters a new one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seal {
    /// Views under which tasks may have been started since the sender last knew all of its records to be whole.
    pub open: Vec<CellView>,
    /// Age of the history that the sender's records cover, or `None` if they cover none.
    pub history: Option<Duration>,
}

/// A job as it is copied to other members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submission; without its tasks if the job has ended.
    pub submission: Submission,
    /// Time until the caller's deadline.
    pub remaining: Duration,
    /// One state for each task.
    pub tasks: Vec<TaskRecord>,
    /// Whether a caller cancelled the job.
    pub is_cancelled: bool,
    /// Whether each follower has the final state.
    pub is_settled: bool,
}

/// State of one task as it is copied to other members. States are ordered by progress: the higher attempt is later,
/// and at the same attempt the later phase.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of the last attempt; 0 before the first.
    pub attempt: Attempt,
    /// Place of the task in its life.
    pub phase: Phase,
}

/// Place of a task in its life, in the order of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// An intent was recorded; the target may run the attempt.
    Intended {
        /// The target.
        target: TargetId,
        /// The life of the target.
        incarnation: Incarnation,
    },
    /// The last attempt was not started; the task waits for a slot.
    Waiting,
    /// Ended with a result that is final.
    Ended(TaskResult),
}
