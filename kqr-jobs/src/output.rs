use std::time::Duration;

use kqr_types::{
    AttemptId, Epoch, Incarnation, InstanceId, Instant, JobKey, ServiceName, TargetId, TaskIndex, TeamName,
};
use serde::{Deserialize, Serialize};

use crate::{JobAnswer, JobMessage, NotAccepted, TaskSpec};

/// Identifies a caller that waits at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallerId(pub u64);

/// A task that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WaitingTask {
    /// Key of the job.
    pub key: JobKey,
    /// Index of the task in its job.
    pub task: TaskIndex,
    /// Team whose quota the task counts against.
    pub team: TeamName,
    /// Service that runs the task.
    pub service: ServiceName,
    /// Instant until which the caller waits for the answer.
    pub deadline: Instant,
    /// Targets that did not start the task and must not be offered it again.
    pub avoid: Vec<TargetId>,
    /// Size and class that the caller declared.
    pub spec: TaskSpec,
}

/// The start of an attempt at its target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartTask {
    /// Key of the job.
    pub key: JobKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// The target.
    pub target: TargetId,
    /// Incarnation of the target that the attempt is meant for; any other incarnation must not run it.
    pub incarnation: Incarnation,
    /// Service that runs the task.
    pub service: ServiceName,
    /// Time within which the target may start the task; it must not start it later.
    pub start_within: Duration,
    /// The task.
    pub spec: TaskSpec,
}

/// An effect that the job machine requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Output {
    /// Tasks wait for slots.
    Enqueue(Vec<WaitingTask>),
    /// The waiting tasks of a job no longer need slots.
    Withdraw {
        /// Key of the job.
        key: JobKey,
    },
    /// A slot that was assigned to a task is released unused.
    ReleaseSlot {
        /// Key of the job.
        key: JobKey,
        /// The task.
        task: TaskIndex,
        /// The target.
        target: TargetId,
    },
    /// An attempt is started. Emitted at most once for each attempt.
    Start(Box<StartTask>),
    /// A target is asked to stop a running attempt.
    Stop {
        /// The attempt.
        attempt: AttemptId,
        /// The target that runs it.
        target: TargetId,
    },
    /// An attempt of an earlier home may have been started: its target is queried until the result is known.
    ///
    /// An attempt that the same incarnation of the target has never seen is fenced there and was not started.
    /// If that incarnation has ended, the result is unknown. [`crate::Input::Ended`] returns the result to
    /// the machine.
    Query {
        /// Key of the job.
        key: JobKey,
        /// The attempt.
        attempt: AttemptId,
        /// The target that may run it.
        target: TargetId,
        /// Incarnation of the target that the attempt was meant for.
        incarnation: Incarnation,
    },
    /// A message to another member. It may be lost, duplicated or reordered.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: JobMessage,
    },
    /// This member has copied the records that it lacked and can become a full member.
    Synced {
        /// The epoch in which the copy was completed.
        epoch: Epoch,
    },
    /// A caller is answered.
    Reply {
        /// The caller.
        caller: CallerId,
        /// The answer, or the refusal.
        answer: Result<JobAnswer, NotAccepted>,
    },
}
