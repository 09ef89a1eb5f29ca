use kqr_fleet::FencingToken;
use kqr_types::{Instant, TargetId};

use crate::RunId;

/// A call to a target that has no answer yet.
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

/// What a poll is sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PollKind {
    /// One follows the other: it renews the lease and waits for ends.
    Periodic,
    /// It shows at once whether a run is there.
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
