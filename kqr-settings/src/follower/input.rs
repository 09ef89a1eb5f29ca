use kqr_types::InstanceId;
use serde::{Deserialize, Serialize};

use crate::{
    log::{Update, Version},
    tree::Digest,
};

/// Input event of the [`Follower`](super::Follower).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FollowerInput {
    /// The clock advanced.
    Tick,
    /// The peer of the open stream sent an update.
    Updated {
        /// Peer that sent it.
        peer: InstanceId,
        /// Update to the new version.
        update: Update,
        /// Whether the update is at least as high as the highest accepted version that a quorum confirmed
        /// after the stream was opened.
        is_confirmed: bool,
    },
    /// The peer of the open stream sent a heartbeat.
    Heartbeat {
        /// Peer that sent it.
        peer: InstanceId,
        /// Version of the peer.
        version: Version,
        /// Digest of that version.
        digest: Digest,
        /// Whether the peer was recently in contact with a quorum, or with a leader that was.
        is_in_touch: bool,
    },
    /// The stream from a peer ended or couldn't be opened.
    Closed {
        /// Peer of the stream.
        peer: InstanceId,
    },
}
