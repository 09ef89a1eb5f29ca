use std::fmt;

use kqr_types::Incarnation;

use crate::{RunId, TargetTime};

/// A run that a target lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunProgress {
    /// The run.
    pub run: RunId,
    /// How much of the work is done, in percent.
    pub percent: u8,
}

/// How a run ended at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The run failed, by its own fault or the target's.
    Failed,
    /// The run was stopped, or its lease ended.
    Stopped,
}

/// An end that a target lists until the cursor passes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end within this life of the target; it rises.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub kind: EndKind,
}

/// Answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollAnswer {
    /// Life of the target, if it tells.
    pub incarnation: Option<Incarnation>,
    /// Clock of the target.
    pub clock: TargetTime,
    /// What runs.
    pub running: Vec<RunProgress>,
    /// What has ended beyond the cursor.
    pub ended: Vec<EndedRun>,
}

/// Why a target refused a call. It has done nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher token.
    Fenced,
    /// It has seen an attempt that is as high.
    Superseded,
    /// The end of the lease had passed when the call arrived.
    Late,
    /// It has no room.
    NoRoom,
    /// It is not healthy or is overloaded.
    Unhealthy,
    /// It is another target than the one that is meant.
    OtherTarget,
    /// It could not read the call.
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

/// Why a call has no answer that counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The call was not sent.
    NotSent(String),
    /// The call may have been carried out, now or later.
    NoAnswer(String),
    /// The target refused it.
    Refused(Refusal),
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::NoAnswer(cause) => write!(f, "no answer: {cause}"),
            Self::Refused(refusal) => write!(f, "refused: {}", refusal.as_str()),
        }
    }
}
