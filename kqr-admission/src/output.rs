use std::time::Duration;

use kqr_jobs::{NotAccepted, WaitingTask};
use kqr_placement::PickFailure;
use kqr_types::{ClassName, JobKey, ServiceName, TargetId, TaskIndex};

/// Effect requested by the admission queue.
#[derive(Clone, Debug)]
pub enum Output {
    /// A slot of the target was taken for the task.
    Placed(WaitingTask, TargetId),
    /// None of the current targets can run the task.
    Unplaceable(WaitingTask, PickFailure),
    /// The task was not started and can no longer meet its deadline.
    Refused(WaitingTask, NotAccepted),
    /// A running task should be throttled, or checkpointed and stopped if the target supports it.
    Throttle {
        /// Key of the job.
        key: JobKey,
        /// The task.
        task: TaskIndex,
        /// The target that runs the task.
        target: TargetId,
    },
}

/// Result of an attempt, as far as it concerns its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The task was completed.
    Completed,
    /// The task was started and failed.
    Failed,
    /// The task was not started: the target was busy or refused it, or the start was never sent.
    NotStarted,
    /// The result is not known.
    Unknown,
}

/// An attempt that has ended.
#[derive(Clone, Debug)]
pub struct EndedAttempt {
    /// Key of the job.
    pub key: JobKey,
    /// The task.
    pub task: TaskIndex,
    /// Service that the task belongs to.
    pub service: ServiceName,
    /// Class of the task.
    pub class: ClassName,
    /// The target.
    pub target: TargetId,
    /// Result of the attempt.
    pub result: AttemptResult,
    /// Run time reported by the target.
    pub run_time: Option<Duration>,
}
