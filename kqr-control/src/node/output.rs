use kqr_agreement::{Message, ProposalResult, Record, RoleView, VoterId};
use kqr_settings::{Answer, Digest, Update, Version};
use kqr_types::InstanceId;
use serde::{Deserialize, Serialize};

use super::{CallId, StreamId};

/// Output of the [`Node`](super::Node). Outputs are performed in order.
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
    /// A change is answered.
    Answered {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// A change was not proposed by this instance; the leader can propose it.
    NotLeader {
        /// The call.
        call: CallId,
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// It is unknown whether a change was accepted. It can be sent again with the same change id.
    Unknown {
        /// The call.
        call: CallId,
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// A change of a voter has completed.
    VotersAnswered {
        /// The call.
        call: CallId,
        /// Outcome of the change.
        result: ProposalResult,
    },
    /// A quorum confirmed the highest accepted version.
    Confirmed {
        /// The call.
        call: CallId,
        /// The version.
        version: Version,
    },
    /// This instance can't confirm the highest accepted version.
    NotConfirmed {
        /// The call.
        call: CallId,
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// Request the highest accepted version from the leader for a stream.
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
        /// Whether this instance was recently in contact with a quorum, or with a leader.
        is_in_touch: bool,
    },
    /// Close a stream. The following instance then opens one from another control instance.
    Close {
        /// The stream.
        stream: StreamId,
    },
    /// This instance applied a new version.
    Applied {
        /// The version.
        version: Version,
    },
    /// The role, the term or the known leader has changed.
    RoleChanged(RoleView),
    /// The state machine can't continue. The process must stop.
    Failed {
        /// Description of the error.
        detail: String,
    },
}
