use kqr_types::InstanceId;
use serde::{Deserialize, Serialize};

use crate::log::Version;

/// Output of the [`Follower`](super::Follower).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FollowerOutput {
    /// Open a stream from a peer. A stream that is open is closed first.
    Open {
        /// Peer to open it from.
        peer: InstanceId,
        /// Version that the copy has; `None` asks for a snapshot.
        since: Option<Version>,
        /// Whether the first update must be confirmed by a quorum.
        needs_confirmation: bool,
        /// Whether every peer was tried in vain, so that a leader must serve the stream too.
        is_last_resort: bool,
    },
    /// Close the stream from a peer.
    Close {
        /// Peer of the stream.
        peer: InstanceId,
    },
    /// The follower's tree has a new version: persist it where there is a disk, then put it in force.
    Apply {
        /// The version.
        version: Version,
    },
}
