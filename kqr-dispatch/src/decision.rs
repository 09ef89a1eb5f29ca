use kqr_types::{InstanceId, JobKey, TargetId};

use crate::{EndKind, JobEnd, NotRun, RunEnd, RunId};

/// A decision for the log, with the inputs that led to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A job was admitted.
    JobAdmitted {
        /// Job.
        job: JobKey,
        /// Tasks.
        tasks: u64,
        /// Expected wait, in milliseconds.
        wait_ms: u64,
        /// Time that is left for the answer, in milliseconds.
        time_left_ms: u64,
    },
    /// A job ended.
    JobEnded {
        /// Job.
        job: JobKey,
        /// How.
        end: JobEnd,
        /// Time since it arrived, in milliseconds.
        after_ms: u64,
        /// Orders that were made for it.
        orders: u64,
    },
    /// The caller of a job is gone.
    JobAbandoned {
        /// Job.
        job: JobKey,
        /// Time since it arrived, in milliseconds.
        after_ms: u64,
    },
    /// A task was ordered at an owner.
    TaskOrdered {
        /// Run.
        run: RunId,
        /// Owner.
        owner: InstanceId,
        /// Target that is expected to have room.
        preferred_target: Option<TargetId>,
    },
    /// An order ended other than with a done task.
    OrderEnded {
        /// Run.
        run: RunId,
        /// How.
        end: RunEnd,
        /// Target.
        target: Option<TargetId>,
    },
    /// A task was sent to a target.
    RunStarted {
        /// Run.
        run: RunId,
        /// Target.
        target: TargetId,
        /// Wait at the owner, in milliseconds.
        waited_ms: u64,
        /// Estimated run time, in milliseconds.
        estimate_ms: u64,
        /// Run time on the target over the estimate, as learned, in thousandths.
        slowness_milli: u64,
    },
    /// A run ended at a target, other than by being done.
    RunEnded {
        /// Run.
        run: RunId,
        /// Target.
        target: TargetId,
        /// How.
        kind: EndKind,
        /// Time since it was sent, in milliseconds.
        after_ms: u64,
    },
    /// A run is proved to have ended, or never to have begun, without a listed end.
    RunCleared {
        /// Run.
        run: RunId,
        /// Target.
        target: TargetId,
        /// The proof.
        proof: &'static str,
    },
    /// A run is stopped.
    RunStopped {
        /// Run.
        run: RunId,
        /// Target.
        target: TargetId,
        /// Why.
        cause: &'static str,
        /// How much of its work was done, in percent.
        percent: u8,
    },
    /// An order can't be served here.
    OrderRefused {
        /// Run.
        run: RunId,
        /// Why.
        cause: NotRun,
    },
    /// What is believed of a target changed.
    TargetChanged {
        /// Target.
        target: TargetId,
        /// The new belief.
        state: &'static str,
        /// What it rests on.
        cause: String,
    },
    /// What is believed of a sibling changed.
    SiblingChanged {
        /// Sibling.
        sibling: InstanceId,
        /// The new belief.
        state: &'static str,
    },
}
