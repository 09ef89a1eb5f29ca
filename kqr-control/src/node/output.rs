use kqr_agreement::{Message, ProposalResult, Record, RoleView, VoterId};
use kqr_settings::{Answer, Digest, Update, Version};
use kqr_types::InstanceId;
use serde::{Deserialize, Serialize};

use super::{CallId, StreamId};

/// Output of the [`Node`](super::Node). Outputs are performed in their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeOutput {
    /// Send a message of the replicated log.
    Send {
        /// Receiver.
        to: VoterId,
        /// The message.
        message: Message,
    },
    /// Sync a record before any later output is performed.
    Persist(Record),
    /// A change has its answer.
    Answered {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// A change was not proposed here; it can be asked for at the leader.
    NotLeader {
        /// The call.
        call: CallId,
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// It is not known whether a change was accepted; it can be asked for again with the same change id.
    Unknown {
        /// The call.
        call: CallId,
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// A change of a voter has ended.
    VotersAnswered {
        /// The call.
        call: CallId,
        /// What became of it.
        result: ProposalResult,
    },
    /// A quorum confirmed the highest accepted version.
    Confirmed {
        /// The call.
        call: CallId,
        /// The version.
        version: Version,
    },
    /// The highest accepted version can't be confirmed here.
    NotConfirmed {
        /// The call.
        call: CallId,
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// Ask the leader for the highest accepted version on behalf of a stream.
    ConfirmStream {
        /// The stream.
        stream: StreamId,
    },
    /// Send an update on a stream.
    Update {
        /// The stream.
        stream: StreamId,
        /// The update.
        update: Update,
        /// Whether a quorum confirmed the version after the stream was opened.
        is_confirmed: bool,
    },
    /// Send a heartbeat on a stream.
    Heartbeat {
        /// The stream.
        stream: StreamId,
        /// Version of this instance.
        version: Version,
        /// Digest of the version.
        digest: Digest,
        /// Whether this instance heard from a quorum, or from a leader, a short time ago.
        is_in_touch: bool,
    },
    /// Close a stream; its instance finds another control instance.
    Close {
        /// The stream.
        stream: StreamId,
    },
    /// A new version was applied here.
    Applied {
        /// The version.
        version: Version,
    },
    /// Role, term or leader changed.
    RoleChanged(RoleView),
    /// The state can't be continued; the process must stop.
    Failed {
        /// What went wrong.
        detail: String,
    },
}
