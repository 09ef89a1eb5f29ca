use std::fmt;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A task was at work at two targets at the same time.
    AtWorkTwice {
        /// Task.
        task: String,
        /// Targets.
        targets: [String; 2],
    },
    /// Without a fault near it, a task of a job that was sent once began again after the system had taken note that it was
    /// done.
    BegunAfterDone {
        /// Task.
        task: String,
    },
    /// A job was answered as completed, but a task of it was not done.
    Partial {
        /// Job.
        job: String,
        /// Tasks that were done.
        done: usize,
        /// Tasks of the job.
        tasks: usize,
    },
    /// A job was answered as failed, but no task failed as often as allowed.
    FailedWithoutCause {
        /// Job.
        job: String,
    },
    /// A job was refused as not run, but a task of it began.
    RanThoughRefused {
        /// Job.
        job: String,
    },
    /// A target that had announced its end got new work.
    StartWhileLeaving {
        /// Task.
        task: String,
        /// Target.
        target: String,
        /// Time since the announcement was acknowledged, in milliseconds.
        after_ms: u128,
    },
    /// A shutdown cut an exchange off.
    CutOff {
        /// Job.
        job: String,
    },
    /// A read showed an older configuration than one acknowledged before.
    Stale {
        /// Version that was read.
        read: u64,
        /// Version that was acknowledged.
        acknowledged: u64,
    },
    /// An invalid configuration was acknowledged.
    InvalidAccepted,
    /// An entry did not serve the newest configuration in time, or served an older one again.
    NotInForce {
        /// Entry.
        entry: usize,
        /// Version.
        version: u64,
    },
    /// The system did not serve again after the faults.
    NotRecovered {
        /// Entry.
        entry: usize,
    },
    /// A process ended by itself.
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
