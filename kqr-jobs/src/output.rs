use std::time::Duration;

use kqr_types::{
    AttemptId, Epoch, Incarnation, InstanceId, Instant, JobKey, ServiceName, TargetId, TaskIndex, TeamName,
};
use serde::{Deserialize, Serialize};

use crate::{JobAnswer, JobMessage, NotAccepted, TaskSpec};

/// A waiting caller of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallerId(pub u64);

/// A task that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WaitingTask {
    /// Key of the job.
    pub key: JobKey,
    /// Position of the task.
    pub task: TaskIndex,
    /// Team that the work is counted for.
    pub team: TeamName,
    /// Service that runs the task.
    pub service: ServiceName,
    /// Instant by which the caller wants the answer.
    pub deadline: Instant,
    /// Targets that were tried and must not be tried again.
    pub avoid: Vec<TargetId>,
    /// Declared size and class.
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
    /// The life of the target that the attempt is meant for; another life must not run it.
    pub incarnation: Incarnation,
    /// Service that runs the task.
    pub service: ServiceName,
    /// Time within which the target may start the task.
    pub start_within: Duration,
    /// The task.
    pub spec: TaskSpec,
}

/// An effect of the job machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Output {
    /// Tasks wait for slots.
    Enqueue(Vec<WaitingTask>),
    /// Waiting tasks of a job need no slot any more.
    Withdraw {
        /// Key of the job.
        key: JobKey,
    },
    /// A slot that was given to a task is not used.
    ReleaseSlot {
        /// Key of the job.
        key: JobKey,
        /// The task.
        task: TaskIndex,
        /// The target.
        target: TargetId,
    },
    /// An attempt must be started now. It is put out once for each attempt.
    Start(Box<StartTask>),
    /// A running attempt should be stopped.
    Stop {
        /// The attempt.
        attempt: AttemptId,
        /// The target that runs it.
        target: TargetId,
    },
    /// An attempt of an earlier home may have been started: its target must be asked until the end is known.
    ///
    /// An attempt that the same life of the target never saw is fenced there and has not been started. If that life
    /// of the target has ended, the result is unknown. The result is handed back by [`crate::Input::Ended`].
    Query {
        /// Key of the job.
        key: JobKey,
        /// The attempt.
        attempt: AttemptId,
        /// The target that may run it.
        target: TargetId,
        /// The life of the target that the attempt was meant for.
        incarnation: Incarnation,
    },
    /// A message goes to another member. It may be lost, duplicated or overtaken.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: JobMessage,
    },
    /// This member has copied what it missed and can become a full member.
    Synced {
        /// The epoch in which the copy was completed.
        epoch: Epoch,
    },
    /// A caller gets an answer.
    Reply {
        /// The caller.
        caller: CallerId,
        /// The answer, or the refusal.
        answer: Result<JobAnswer, NotAccepted>,
    },
}
