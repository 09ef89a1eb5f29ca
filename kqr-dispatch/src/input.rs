use std::time::Duration;

use kqr_fleet::{EntryInfo, TargetGrant, TargetReport};
use kqr_types::{InstanceId, JobKey};

use crate::{CallFailure, CallId, JobRequest, OrderId, PollAnswer, SiblingMessage, TargetTime};

/// Input of the [`Dispatcher`](crate::Dispatcher).
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A caller submits a job. A key that is at work already is not run again.
    Submit(JobRequest),
    /// The caller of a job is gone.
    Abandon(JobKey),
    /// A caller cancels a job.
    Cancel(JobKey),
    /// Control told of the live entries and of the targets of this one.
    ViewChanged {
        /// All entries, this one included.
        entries: Vec<EntryInfo>,
        /// The own targets.
        owned: Vec<TargetGrant>,
    },
    /// A target reported to this entry.
    TargetReported(TargetReport),
    /// A message of a sibling arrived.
    MessageReceived {
        /// Sibling.
        from: InstanceId,
        /// The message.
        message: SiblingMessage,
    },
    /// Messages to or from a sibling may have been lost.
    LinkLost {
        /// Sibling.
        sibling: InstanceId,
    },
    /// A sibling opened a session: what it handed over before is void.
    SessionOpened {
        /// Sibling.
        sibling: InstanceId,
        /// The last order of this entry that the sibling has dropped; later ones stay valid.
        dropped: OrderId,
    },
    /// A start was answered with the target's clock, or failed.
    StartAnswered {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Result<TargetTime, CallFailure>,
    },
    /// A stop was answered with the target's clock, or failed.
    StopAnswered {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Result<TargetTime, CallFailure>,
    },
    /// A poll was answered, or failed.
    PollAnswered {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Result<PollAnswer, CallFailure>,
    },
    /// The entry is shutting down: targets are given back as they become idle.
    Leave {
        /// Time after which jobs that are still open are given up.
        time_left: Duration,
    },
}
