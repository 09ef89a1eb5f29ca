use std::time::Duration;

use kqr_fleet::{EntryInfo, TargetGrant, TargetReport};
use kqr_types::{InstanceId, Instant, JobKey};

use crate::{CallFailure, CallId, JobRequest, OrderId, PollAnswer, SiblingMessage, TargetTime};

/// Input of the [`Dispatcher`](crate::Dispatcher).
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A periodic tick; drives all timeouts.
    Tick,
    /// A caller submits a job. A job whose key is already in progress is not run again.
    Submit(JobRequest),
    /// The last caller of a job disconnected.
    Abandon(JobKey),
    /// A caller cancels a job.
    Cancel(JobKey),
    /// Control published the live entries and the targets of this entry.
    ViewChanged {
        /// All live entries, including this one.
        entries: Vec<EntryInfo>,
        /// Targets that this entry owns.
        owned: Vec<TargetGrant>,
    },
    /// A target reported to this entry.
    TargetReported(TargetReport),
    /// A message from a sibling arrived.
    MessageReceived {
        /// Sender.
        from: InstanceId,
        /// When the message was sent at the earliest. It may have been on its way or unread for long.
        sent_at: Instant,
        /// Received message.
        message: SiblingMessage,
    },
    /// Messages to or from a sibling may have been lost.
    LinkLost {
        /// Sibling at the other end of the link.
        sibling: InstanceId,
    },
    /// A sibling opened a new session, which invalidates its earlier messages.
    SessionOpened {
        /// Sibling that opened the session.
        sibling: InstanceId,
        /// Last order of this entry that the sibling has dropped; later orders stay valid.
        dropped: OrderId,
    },
    /// A start was answered, or failed.
    StartAnswered {
        /// Answered call.
        call: CallId,
        /// Clock of the target, or why the call failed.
        answer: Result<TargetTime, CallFailure>,
    },
    /// A stop was answered, or failed.
    StopAnswered {
        /// Answered call.
        call: CallId,
        /// Clock of the target, or why the call failed.
        answer: Result<TargetTime, CallFailure>,
    },
    /// A poll was answered, or failed.
    PollAnswered {
        /// Answered call.
        call: CallId,
        /// Runs that the target lists, or why the call failed.
        answer: Result<PollAnswer, CallFailure>,
    },
    /// The entry is shutting down: targets are released as they become idle.
    Leave {
        /// Time after which jobs still in progress are given up.
        time_left: Duration,
    },
}
