use kqr_types::InstanceId;
use serde::{Deserialize, Serialize};

use crate::{
    log::{Update, Version},
    tree::Digest,
};

/// Input of the [`Follower`](super::Follower).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FollowerInput {
    /// Time has passed.
    Tick,
    /// The peer of the open stream sent an update.
    Updated {
        /// Peer that sent it.
        peer: InstanceId,
        /// Way to the version.
        update: Update,
        /// Whether a quorum confirmed, after the stream was opened, that no higher version had been accepted before.
        is_confirmed: bool,
    },
    /// The peer of the open stream sent a heartbeat.
    Heartbeat {
        /// Peer that sent it.
        peer: InstanceId,
        /// Version that the peer has.
        version: Version,
        /// Digest of that version.
        digest: Digest,
        /// Whether the peer heard from a quorum, or from a leader that did, a short time ago.
        is_in_touch: bool,
    },
    /// The stream from a peer ended or could not be opened.
    Closed {
        /// Peer of the stream.
        peer: InstanceId,
    },
}
