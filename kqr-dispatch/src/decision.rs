use kqr_types::{InstanceId, JobKey, TargetId};

use crate::{DataPlace, EndKind, JobEnd, JobPart, LinkUsage, NotRun, RunEnd, RunId};

/// A decision to be logged, with the inputs that led to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A job was admitted.
    JobAdmitted {
        /// Key of the job.
        job: JobKey,
        /// Number of its tasks.
        tasks: u64,
        /// Expected wait for capacity, in milliseconds.
        wait_ms: u64,
        /// Time left to answer the caller, in milliseconds.
        time_left_ms: u64,
    },
    /// A job exceeds a limit and is refused.
    JobOversized {
        /// Key of the job.
        job: JobKey,
        /// The part that is too large.
        part: JobPart,
    },
    /// A job ended.
    JobEnded {
        /// Key of the job.
        job: JobKey,
        /// Outcome of the job.
        end: JobEnd,
        /// Time since the job arrived, in milliseconds.
        after_ms: u64,
        /// Number of orders placed for it.
        orders: u64,
    },
    /// The caller of a job disconnected.
    JobAbandoned {
        /// Key of the job.
        job: JobKey,
        /// Time since the job arrived, in milliseconds.
        after_ms: u64,
    },
    /// An order for a task was sent to an owner.
    TaskOrdered {
        /// Ordered run.
        run: RunId,
        /// Owner that receives the order.
        owner: InstanceId,
        /// Target that is expected to have free capacity.
        preferred_target: Option<TargetId>,
    },
    /// A waiting order was taken back from its owner, because another owner has free capacity.
    OrderTakenBack {
        /// Ordered run.
        run: RunId,
        /// Owner at which the order waits.
        owner: InstanceId,
        /// Owner that has free capacity.
        free_owner: InstanceId,
        /// Time since the order was placed, in milliseconds.
        waited_ms: u64,
        /// Expected wait by the queue of the owner, in milliseconds.
        expected_wait_ms: u64,
    },
    /// An order ended without completing its task.
    OrderEnded {
        /// Ordered run.
        run: RunId,
        /// Outcome of the order.
        end: RunEnd,
        /// Target that received the run, if any.
        target: Option<TargetId>,
    },
    /// The start of a run was sent to a target.
    RunStarted {
        /// Started run.
        run: RunId,
        /// Target that receives the start.
        target: TargetId,
        /// Time that the order waited at the owner, in milliseconds.
        waited_ms: u64,
        /// Wait that the coordinator expected when it admitted the job, in milliseconds.
        expected_wait_ms: u64,
        /// Estimated run time, in milliseconds.
        estimate_ms: u64,
        /// Learned ratio of run time to estimate on the target, in thousandths.
        slowness_milli: u64,
        /// Where the target is in relation to the data of the task.
        data_place: DataPlace,
    },
    /// A target listed the end of a run that did not complete.
    RunEnded {
        /// Ended run.
        run: RunId,
        /// Target of the run.
        target: TargetId,
        /// How the run ended.
        kind: EndKind,
        /// Time since the start was sent, in milliseconds.
        after_ms: u64,
    },
    /// A run has ended or never began, although the target listed no end.
    RunCleared {
        /// Removed run.
        run: RunId,
        /// Target of the run.
        target: TargetId,
        /// Evidence that the run is not active.
        proof: &'static str,
    },
    /// The first stop of a run was sent.
    RunStopped {
        /// Run to stop.
        run: RunId,
        /// Target of the run.
        target: TargetId,
        /// Reason for the stop.
        cause: &'static str,
        /// Last reported progress, in percent.
        percent: u8,
    },
    /// This entry refused an order.
    OrderRefused {
        /// Ordered run.
        run: RunId,
        /// Reason for the refusal.
        cause: NotRun,
    },
    /// The assumed state of a target changed.
    TargetChanged {
        /// Identity of the target.
        target: TargetId,
        /// New state.
        state: &'static str,
        /// Observation that caused the change.
        cause: String,
    },
    /// The assumed state of a sibling changed.
    SiblingChanged {
        /// Identity of the sibling.
        sibling: InstanceId,
        /// New state.
        state: &'static str,
    },
    /// Bytes that passed the link since the last such decision.
    LinkUsed {
        /// Bytes by type of message.
        usage: Box<LinkUsage>,
        /// Time since the last such decision, in milliseconds.
        period_ms: u64,
    },
}
