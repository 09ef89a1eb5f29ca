use kqr_types::InstanceId;
use serde::{Deserialize, Serialize};

use crate::log::Version;

/// Action that the [`Follower`](super::Follower) requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FollowerOutput {
    /// Open a stream from a peer, after closing the open stream, if there is one.
    Open {
        /// Peer that sends the stream.
        peer: InstanceId,
        /// Version of the local copy; `None` requests a snapshot.
        since: Option<Version>,
        /// Whether a quorum must confirm the version of the first update.
        needs_confirmation: bool,
        /// Whether the peer must serve the stream even if it is the leader. Set if every peer was tried
        /// without success, and if the stream replaces an open one from the same peer.
        is_last_resort: bool,
    },
    /// Close the stream from a peer.
    Close {
        /// Peer of the stream.
        peer: InstanceId,
    },
    /// Apply the new version of the follower's tree, after persisting it if the instance has a disk.
    Apply {
        /// Version to apply.
        version: Version,
    },
}
