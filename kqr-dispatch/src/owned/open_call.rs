use kqr_fleet::FencingToken;
use kqr_types::{Instant, TargetId};

use crate::RunId;

/// A call to a target that is not answered yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OpenCall {
    Start {
        target: TargetId,
        token: FencingToken,
        run: RunId,
    },
    Stop {
        target: TargetId,
        token: FencingToken,
        run: RunId,
    },
    Poll {
        target: TargetId,
        token: FencingToken,
        sent_at: Instant,
        kind: PollKind,
    },
}

/// Purpose of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PollKind {
    /// Extends the lease and waits for runs to end; each one is sent after the answer to the last.
    Periodic,
    /// Lists the runs without a wait.
    Probe,
}

impl OpenCall {
    pub(super) const fn target(&self) -> &TargetId {
        match self {
            Self::Start { target, .. } | Self::Stop { target, .. } | Self::Poll { target, .. } => target,
        }
    }

    pub(super) const fn token(&self) -> FencingToken {
        match self {
            Self::Start { token, .. } | Self::Stop { token, .. } | Self::Poll { token, .. } => *token,
        }
    }
}
