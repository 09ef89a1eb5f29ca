use std::time::Duration;

use kqr_types::{Attempt, CellView, Epoch, Incarnation, KeyDigest, TargetId, TaskIndex};
use serde::{Deserialize, Serialize};

use crate::{Submission, TaskResult, TombstoneKind};

/// A message between the job machines of two members of a cell.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum JobMessage {
    /// Changes to the sender's records, in order.
    Updates {
        /// Epoch of the sender.
        epoch: Epoch,
        /// Position of the first update in the sender's stream of this epoch.
        first: u64,
        /// The updates.
        updates: Vec<Update>,
    },
    /// Acknowledges the updates that the sender has applied.
    Ack {
        /// Epoch of the sender.
        epoch: Epoch,
        /// Position of the first update that is not yet applied.
        next: u64,
    },
}

/// One change in the replication stream between two members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Update {
    /// The whole record of a job: a claim with its first intents, or a replica.
    Record(Box<JobRecord>),
    /// The state of one task: an intent, a result, or its return to the queue.
    Task {
        /// The job.
        job: KeyDigest,
        /// Index of the task in its job.
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
    /// Replaces the record of a job, or marks a key without one.
    Tombstone {
        /// The job.
        job: KeyDigest,
        /// What is recorded about the job or key.
        #[serde(rename = "remains")]
        kind: TombstoneKind,
        /// Time until the tombstone expires.
        remaining: Duration,
    },
    /// The sender no longer acts under earlier epochs, and has sent every record of them that the receiver
    /// needs.
    Sealed(Seal),
    /// All replicas of the sender's records are acknowledged.
    Complete,
}

impl Update {
    /// Estimated size of an update or of one task without its strings, in bytes.
    const BASE_BYTES: usize = 128;

    /// Estimates the size of the update in a message, in bytes.
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

/// State of the earlier epochs at a member that enters a new one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seal {
    /// Views under which tasks may have been started since the sender was last active.
    pub open: Vec<CellView>,
    /// Length of the history that the sender's records cover, or `None` if they cover none.
    pub history: Option<Duration>,
}

/// A job as it is replicated to other members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submission; without tasks once the job has ended.
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

/// State of one task as it is replicated to other members.
///
/// States are ordered by progress: first by attempt, then by phase.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of the last attempt; 0 before the first.
    pub attempt: Attempt,
    /// Phase of the task.
    pub phase: Phase,
}

/// Phase of a task, in the order of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The intent is recorded; the target may run the attempt.
    Intended {
        /// The target.
        target: TargetId,
        /// Incarnation of the target.
        incarnation: Incarnation,
    },
    /// The last attempt was not started; the task waits for a slot.
    Waiting,
    /// The task has its final result.
    Ended(TaskResult),
}
