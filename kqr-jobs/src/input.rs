use std::time::Duration;

use kqr_types::{AttemptId, CellView, Incarnation, InstanceId, Instant, JobKey, TargetId, TaskIndex};
use serde::{Deserialize, Serialize};

use crate::{CallerId, JobMessage, NotAccepted, Outcome, Submission};

/// A submission together with the caller that waits for its answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Submit {
    /// The waiting caller, or `None` if nobody waits.
    pub caller: Option<CallerId>,
    /// The submission.
    pub submission: Submission,
}

/// How an attempt ended, as far as this is known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TaskResult {
    /// The target completed the task.
    Completed(String),
    /// The target ran the task and it failed.
    Failed(String),
    /// The target did not start the task and never will.
    NotStarted(String),
    /// The target was lost after it may have started the task.
    Unknown(String),
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskEnd {
    /// Key of the job.
    pub key: JobKey,
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// How it ended.
    pub result: TaskResult,
    /// Run time that the target reported.
    pub run_time: Option<Duration>,
}

/// An input of the job machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Input {
    /// A caller submits or resubmits a job.
    Submit(Submit),
    /// Placement found a target with a free slot for a waiting task.
    Placed {
        /// Key of the job.
        key: JobKey,
        /// The task.
        task: TaskIndex,
        /// The target that will run it.
        target: TargetId,
        /// The life of the target that announced the slot.
        incarnation: Incarnation,
    },
    /// Admission refuses a waiting task; it was never offered to a target in this round.
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
    /// A caller asks for the answer or the state of a job.
    Lookup {
        /// Key of the job.
        key: JobKey,
        /// The asking caller.
        caller: CallerId,
    },
    /// Another data centre asks this one never to run a key that it does not know.
    ///
    /// The promise is a refusal with reason [`crate::RefusalReason::UnknownKey`] and outcome [`Outcome::NotRun`];
    /// any other answer is none.
    Renounce {
        /// The key.
        key: JobKey,
        /// The caller that asks for the other data centre.
        caller: CallerId,
    },
    /// A waiting caller has gone.
    Detach {
        /// Key of the job.
        key: JobKey,
        /// The caller that has gone.
        caller: CallerId,
    },
    /// The cell agreed on a membership. It is installed here only after the leases of members that are not in it
    /// have ended.
    Epoch(CellView),
    /// The lease of this member was extended.
    Lease {
        /// End of the lease on this member's clock, with clock drift allowed for.
        until: Instant,
    },
    /// A message of another member arrived.
    Peer {
        /// The sender.
        from: InstanceId,
        /// The life of the sender.
        incarnation: Incarnation,
        /// The message.
        message: JobMessage,
    },
    /// A batch of inputs is complete: what they changed is sent to the other members.
    Flush,
    /// Time has passed.
    Tick,
}

impl TaskResult {
    /// Returns the result of a completed task, or the reason of any other end.
    pub fn text(&self) -> &str {
        match self {
            Self::Completed(text) | Self::Failed(text) | Self::NotStarted(text) | Self::Unknown(text) => text,
        }
    }

    /// Returns what the result says of whether the task was run.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Completed(_) | Self::Failed(_) => Outcome::Ran,
            Self::NotStarted(_) => Outcome::NotRun,
            Self::Unknown(_) => Outcome::MayHaveRun,
        }
    }
}
