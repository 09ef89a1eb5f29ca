use std::time::Duration;

use kqr_types::{AttemptId, CellView, Incarnation, InstanceId, Instant, JobKey, TargetId, TaskIndex};
use serde::{Deserialize, Serialize};

use crate::{CallerId, JobMessage, NotAccepted, Outcome, Submission};

/// A submission and the caller that waits for its answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Submit {
    /// The waiting caller, or `None` if no caller waits.
    pub caller: Option<CallerId>,
    /// The submission.
    pub submission: Submission,
}

/// Result of an attempt, as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TaskResult {
    /// The target completed the task.
    Completed(String),
    /// The target ran the task and it failed.
    Failed(String),
    /// The target did not start the task and will not start it.
    NotStarted(String),
    /// The target was lost and may have started the task before.
    Unknown(String),
}

/// Reports the end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskEnd {
    /// Key of the job.
    pub key: JobKey,
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// Its result.
    pub result: TaskResult,
    /// Run time that the target reported.
    pub run_time: Option<Duration>,
}

/// An input of the job machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Input {
    /// A caller submits or resubmits a job.
    Submit(Submit),
    /// Placement assigned a free slot of a target to a waiting task.
    Placed {
        /// Key of the job.
        key: JobKey,
        /// The task.
        task: TaskIndex,
        /// The target that has the slot.
        target: TargetId,
        /// Incarnation of the target that announced the slot.
        incarnation: Incarnation,
    },
    /// Admission refuses a waiting task, which was not offered to a target since it was last enqueued.
    Refused {
        /// Key of the job.
        key: JobKey,
        /// The task.
        task: TaskIndex,
        /// Why it was refused.
        refusal: NotAccepted,
    },
    /// An attempt ended.
    Ended(TaskEnd),
    /// A caller cancels a job.
    Cancel {
        /// Key of the job.
        key: JobKey,
        /// The caller that waits for the answer.
        caller: CallerId,
    },
    /// A caller queries the answer or the state of a job.
    Lookup {
        /// Key of the job.
        key: JobKey,
        /// The caller that waits for the reply.
        caller: CallerId,
    },
    /// Another data centre requests that this one never runs a key that is unknown here.
    ///
    /// Only a refusal with reason [`crate::RefusalReason::UnknownKey`] and outcome [`Outcome::NotRun`] grants
    /// the request.
    Renounce {
        /// The key.
        key: JobKey,
        /// The caller that represents the other data centre.
        caller: CallerId,
    },
    /// A waiting caller has disconnected.
    Detach {
        /// Key of the job.
        key: JobKey,
        /// The caller that disconnected.
        caller: CallerId,
    },
    /// The cell agreed on a membership view. It is installed here only after the leases of members that it
    /// leaves out have expired.
    Epoch(CellView),
    /// The lease of this member was extended.
    Lease {
        /// End of the lease on this member's clock, shortened by the permitted clock drift.
        until: Instant,
    },
    /// A message from another member arrived.
    Peer {
        /// The sender.
        from: InstanceId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// The message.
        message: JobMessage,
    },
    /// A batch of inputs is complete; their changes are sent to the other members.
    Flush,
    /// Time has passed.
    Tick,
}

impl TaskResult {
    /// Returns the output of a completed task, or the reason why the task was not completed.
    pub fn text(&self) -> &str {
        match self {
            Self::Completed(text) | Self::Failed(text) | Self::NotStarted(text) | Self::Unknown(text) => text,
        }
    }

    /// Returns whether the task was run, as far as the result shows it.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Completed(_) | Self::Failed(_) => Outcome::Ran,
            Self::NotStarted(_) => Outcome::NotRun,
            Self::Unknown(_) => Outcome::MayHaveRun,
        }
    }
}
