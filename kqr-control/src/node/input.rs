use kqr_agreement::{Message, VoterChange, VoterId};
use kqr_settings::{Command, Version};
use kqr_types::InstanceId;
use serde::{Deserialize, Serialize};

use super::{CallId, StreamId};

/// Input of the [`Node`](super::Node).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeInput {
    /// Time has passed.
    Tick,
    /// A message of the replicated log arrived.
    Message {
        /// Voter that sent it.
        from: VoterId,
        /// The message.
        message: Message,
    },
    /// A change of the settings is requested.
    Change {
        /// Call that waits for the answer.
        call: CallId,
        /// The change.
        command: Command,
    },
    /// A change of one voter is requested.
    ChangeVoters {
        /// Call that waits for the answer.
        call: CallId,
        /// The change.
        change: VoterChange,
    },
    /// The highest accepted version is requested.
    Confirm {
        /// Call that waits for the answer.
        call: CallId,
    },
    /// An instance opened a settings stream.
    Follow {
        /// The stream.
        stream: StreamId,
        /// The instance.
        instance: InstanceId,
        /// Version of the instance's copy; `None` requests a snapshot.
        since: Option<Version>,
        /// Whether the first update must be confirmed by a quorum.
        needs_confirmation: bool,
        /// Whether the stream must be served even if this instance leads.
        is_last_resort: bool,
    },
    /// After the stream was opened, a quorum confirmed `version` as the highest accepted one.
    StreamConfirmed {
        /// The stream.
        stream: StreamId,
        /// The version.
        version: Version,
    },
    /// A settings stream ended.
    Unfollow {
        /// The stream.
        stream: StreamId,
    },
    /// The instance is about to stop and transfers leadership.
    HandOver,
}
