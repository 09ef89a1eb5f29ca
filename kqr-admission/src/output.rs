use std::time::Duration;

use kqr_jobs::{NotAccepted, WaitingTask};
use kqr_placement::PickFailure;
use kqr_types::{ClassName, JobKey, ServiceName, TargetId, TaskIndex};

/// An effect of the admission queue.
#[derive(Clone, Debug)]
pub enum Output {
    /// A slot of the target was taken for the task.
    Placed(WaitingTask, TargetId),
    /// No present target can run the task.
    Unplaceable(WaitingTask, PickFailure),
    /// The task was not started and its deadline can't be met any more.
    Refused(WaitingTask, NotAccepted),
    /// A running task should be throttled, or checkpointed and stopped if the target can do so.
    Throttle {
        /// Key of the job.
        key: JobKey,
        /// The task.
        task: TaskIndex,
        /// The target that runs it.
        target: TargetId,
    },
}

/// What an attempt's end says of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The task was completed.
    Completed,
    /// The task was started and failed.
    Failed,
    /// The target did not start the task: it was busy, refused, or the start was never sent.
    NotStarted,
    /// Nothing is known.
    Unknown,
}

/// The end of a placed task.
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
    /// What the end says of the target.
    pub result: AttemptResult,
    /// Run time that the target reported.
    pub run_time: Option<Duration>,
}
