//! Messages by which an entry uses single slots that are leased to a sibling.

use std::time::Duration;

use kqr_types::{ByteSize, ClassName, Incarnation, JobKey, ServiceName, TargetId, TaskIndex};
use serde::{Deserialize, Serialize};

/// A request for a slot for one waiting task. The task stays with its home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Number of the request in this life of the sender; all messages about the loan carry it.
    pub number: u64,
    /// Key of the job.
    pub key: JobKey,
    /// The task.
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
    /// Targets that were tried and must not be tried again.
    pub avoid: Vec<TargetId>,
}

/// The answer to a request for a slot.
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
    /// The life of the target that announced the slot.
    pub incarnation: Incarnation,
}

/// What became of a lent slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanEnd {
    /// No start was sent.
    Unused,
    /// The task was completed, in the run time that the target reported.
    Completed(Option<Duration>),
    /// The task was started and failed.
    Failed,
    /// The target did not start the task.
    NotStarted,
    /// Nothing is known.
    Unknown,
}

/// The end of a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// Number of the request.
    pub number: u64,
    /// What became of the slot.
    pub end: LoanEnd,
}
