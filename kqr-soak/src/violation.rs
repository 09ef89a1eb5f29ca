use std::fmt;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A task ran at two targets at the same time.
    AtWorkTwice {
        /// Task.
        task: String,
        /// Targets.
        targets: [String; 2],
    },
    /// A task started again after the system had acknowledged that it was done, although its job was sent
    /// once and no fault was active around that time.
    BegunAfterDone {
        /// Task.
        task: String,
    },
    /// A job was reported as completed, but one of its tasks was not done.
    Partial {
        /// Job.
        job: String,
        /// Tasks that were done.
        done: usize,
        /// Tasks of the job.
        tasks: usize,
    },
    /// A job was reported as failed, but none of its tasks had used up its attempts.
    FailedWithoutCause {
        /// Job.
        job: String,
    },
    /// A job was refused as not run, but one of its tasks started.
    RanThoughRefused {
        /// Job.
        job: String,
    },
    /// A task was started at a target that had announced that it leaves.
    StartWhileLeaving {
        /// Task.
        task: String,
        /// Target.
        target: String,
        /// Time since the announcement was acknowledged, in milliseconds.
        after_ms: u128,
    },
    /// A graceful shutdown interrupted an exchange with a caller.
    CutOff {
        /// Job.
        job: String,
    },
    /// A read returned an older catalog than one acknowledged before.
    Stale {
        /// Version that was read.
        read: u64,
        /// Version that was acknowledged.
        acknowledged: u64,
    },
    /// An invalid catalog was acknowledged.
    InvalidAccepted,
    /// An entry did not apply the newest catalog in time, or returned to an older one.
    NotInForce {
        /// Entry.
        entry: usize,
        /// Version.
        version: u64,
    },
    /// An entry did not serve jobs again after the faults.
    NotRecovered {
        /// Entry.
        entry: usize,
    },
    /// A process exited unexpectedly, or failed to shut down when told to.
    EndedByItself {
        /// Process.
        process: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
