//! Messages by which an entry borrows single slots that are leased to a sibling.

use std::time::Duration;

use kqr_types::{ByteSize, ClassName, Incarnation, JobKey, ServiceName, TargetId, TaskIndex};
use serde::{Deserialize, Serialize};

/// A request to borrow a slot for one waiting task. The task remains assigned to its home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Number of the request, unique within the incarnation of the sender. All messages about the loan carry it.
    pub number: u64,
    /// Key of the job.
    pub key: JobKey,
    /// Index of the task within the job.
    pub task: TaskIndex,
    /// Service that runs the task.
    pub service: ServiceName,
    /// Class of the task.
    pub class: ClassName,
    /// Declared number of cores.
    pub cores: u32,
    /// Declared memory.
    pub memory: ByteSize,
    /// Declared number of accelerators.
    pub accelerators: u32,
    /// Targets that were already tried and must be avoided.
    pub avoid: Vec<TargetId>,
}

/// The answer to a [`LoanRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanAnswer {
    /// Number of the request.
    pub number: u64,
    /// The lent slot, or `None` if none is free.
    pub slot: Option<LentSlot>,
}

/// A slot that the receiver may use for one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentSlot {
    /// The target.
    pub target: TargetId,
    /// Incarnation of the target that announced the slot.
    pub incarnation: Incarnation,
}

/// How a loan ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanEnd {
    /// No start was sent.
    Unused,
    /// The task was completed; contains the run time reported by the target, if any.
    Completed(Option<Duration>),
    /// The task was started and failed.
    Failed,
    /// The target did not start the task.
    NotStarted,
    /// The outcome of the attempt is not known.
    Unknown,
}

/// Notification that a loan has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// Number of the request.
    pub number: u64,
    /// How the loan ended.
    pub end: LoanEnd,
}
