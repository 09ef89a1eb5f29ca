use kqr_agreement::{Message, ProposalResult, VoterChange, VoterId};
use kqr_settings::{Answer, Change, Command, Refusal, Update, Version};
use kqr_types::InstanceId;
use kqr_wire::control::messages::{FollowEvent, FollowRequest, StatusReply};
use tokio::sync::{mpsc, oneshot};
use tonic::Status;

use crate::node::StreamId;

/// Outcome of a change that was submitted to this instance.
#[derive(Debug)]
pub enum ChangeResult {
    /// The change is answered.
    Answered(Answer),
    /// The change was not proposed. Holds the leader, if it is known.
    NotLeader(Option<InstanceId>),
    /// The change was proposed and may be accepted.
    Unknown,
}

/// Outcome of a request for the highest accepted version.
#[derive(Debug)]
pub enum ConfirmResult {
    /// A quorum confirmed the version.
    Confirmed(Version),
    /// This instance can't confirm the version. Holds the leader, if it is known.
    Unconfirmed(Option<InstanceId>),
}

/// Sender of a settings stream.
pub type StreamSender = mpsc::Sender<Result<FollowEvent, Status>>;

/// A request to the driver of the node.
#[derive(Debug)]
pub enum Request {
    /// A message of the replicated log arrived.
    Message {
        /// Voter that sent it.
        from: VoterId,
        /// The message.
        message: Message,
    },
    /// Proposes a change at this instance.
    Change {
        /// The change.
        command: Command,
        /// Receives the outcome.
        reply: oneshot::Sender<ChangeResult>,
    },
    /// Requests the highest accepted version.
    Confirm {
        /// Receives the outcome.
        reply: oneshot::Sender<ConfirmResult>,
    },
    /// Opens a settings stream.
    Follow {
        /// Request of the following instance.
        request: FollowRequest,
        /// Receives the events of the stream.
        tx: StreamSender,
    },
    /// The highest accepted version was confirmed for a stream.
    StreamConfirmed {
        /// The stream.
        stream: StreamId,
        /// The version.
        version: Version,
    },
    /// Requests the tree as a snapshot.
    Tree {
        /// Version of the tree; `None` requests the present one.
        at: Option<Version>,
        /// Receives the snapshot.
        reply: oneshot::Sender<Result<Update, Refusal>>,
    },
    /// Requests accepted changes, oldest first.
    History {
        /// Version after which changes are returned.
        since: Version,
        /// Maximum number of changes. If there are more, the newest are returned.
        limit: usize,
        /// Receives the changes.
        reply: oneshot::Sender<Vec<Change>>,
    },
    /// Requests the state of this instance.
    Status {
        /// Receives the state.
        reply: oneshot::Sender<StatusReply>,
    },
    /// Changes one voter of the settings log.
    ChangeVoters {
        /// The change.
        change: VoterChange,
        /// Receives the outcome.
        reply: oneshot::Sender<ProposalResult>,
    },
    /// Transfers leadership before the process stops.
    HandOver,
}
