use std::time::Duration;

use kqr_types::{AttemptId, Instant, JobKey, ServiceName, TargetId, TaskIndex, TeamName};
use serde::{Deserialize, Serialize};

use crate::{JobAnswer, NotAccepted, TaskSpec};

/// A waiting caller of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallerId(pub u64);

/// A task that waits for a slot.
#[derive(Clone, Debug)]
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
#[derive(Clone, Debug)]
pub struct StartTask {
    /// Key of the job.
    pub key: JobKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// The target.
    pub target: TargetId,
    /// Service that runs the task.
    pub service: ServiceName,
    /// Time within which the target may start the task.
    pub start_within: Duration,
    /// The task.
    pub spec: TaskSpec,
}

/// An effect of the job machine.
#[derive(Clone, Debug)]
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
    /// A caller gets an answer.
    Reply {
        /// The caller.
        caller: CallerId,
        /// The answer, or the refusal.
        answer: Result<JobAnswer, NotAccepted>,
    },
}
