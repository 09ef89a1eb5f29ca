use std::fmt;

use kqr_types::Incarnation;

use crate::{RunId, TargetTime};

/// Progress of an active run, as listed by a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunProgress {
    /// Listed run.
    pub run: RunId,
    /// Completed part of the work, in percent.
    pub percent: u8,
}

/// How a run ended at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The run failed because of the task or the target.
    Failed,
    /// The run was stopped, or its lease expired.
    Stopped,
}

/// End of a run, listed by the target until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number within the incarnation of the target; it increases.
    pub number: u64,
    /// Ended run.
    pub run: RunId,
    /// How the run ended.
    pub kind: EndKind,
}

/// Answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollAnswer {
    /// Incarnation of the target, if reported.
    pub incarnation: Option<Incarnation>,
    /// Clock of the target when it made the lists.
    pub clock: TargetTime,
    /// Active runs.
    pub running: Vec<RunProgress>,
    /// Runs that ended after the acknowledged cursor.
    pub ended: Vec<EndedRun>,
}

/// Why a target refused a call. A refused call has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The target has seen a higher fencing token.
    Fenced,
    /// The target has seen the same or a higher attempt of the task.
    Superseded,
    /// The lease had expired when the call arrived.
    Late,
    /// The target lacks free capacity.
    NoRoom,
    /// The target is unhealthy or overloaded.
    Unhealthy,
    /// The address belongs to another target.
    OtherTarget,
    /// The call, or its answer, could not be decoded.
    Malformed,
}

impl Refusal {
    /// Returns the cause as a word for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::Superseded => "superseded",
            Self::Late => "late",
            Self::NoRoom => "no-room",
            Self::Unhealthy => "unhealthy",
            Self::OtherTarget => "other-target",
            Self::Malformed => "malformed",
        }
    }
}

/// Why a call did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The call was not sent.
    NotSent(String),
    /// The call was not sent, because no process listens at the address of the target.
    ConnectionRefused(String),
    /// No usable answer arrived; the call may have taken effect or may do so later.
    NoAnswer(String),
    /// The target refused the call.
    Refused(Refusal),
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::ConnectionRefused(cause) => write!(f, "connection refused: {cause}"),
            Self::NoAnswer(cause) => write!(f, "no answer: {cause}"),
            Self::Refused(refusal) => write!(f, "refused: {}", refusal.as_str()),
        }
    }
}
