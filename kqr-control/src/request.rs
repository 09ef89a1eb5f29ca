use kqr_agreement::{Message, ProposalResult, VoterChange, VoterId};
use kqr_settings::{Answer, Change, Command, Refusal, Update, Version};
use kqr_types::InstanceId;
use kqr_wire::control::messages::{FollowEvent, FollowRequest, StatusReply};
use tokio::sync::{mpsc, oneshot};
use tonic::Status;

use crate::node::StreamId;

/// What became of a change that was asked for at this instance.
#[derive(Debug)]
pub enum ChangeResult {
    /// It has its answer.
    Answered(Answer),
    /// It was not proposed; the leader is named if it is known.
    NotLeader(Option<InstanceId>),
    /// It was proposed and may be accepted.
    Unknown,
}

/// What became of a question for the highest accepted version.
#[derive(Debug)]
pub enum ConfirmResult {
    /// The version.
    Confirmed(Version),
    /// It can't be confirmed here; the leader is named if it is known.
    NotHere(Option<InstanceId>),
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
    /// Proposes a change here.
    Change {
        /// The change.
        command: Command,
        /// Takes what became of it.
        reply: oneshot::Sender<ChangeResult>,
    },
    /// Asks for the highest accepted version.
    Confirm {
        /// Takes the result.
        reply: oneshot::Sender<ConfirmResult>,
    },
    /// Opens a settings stream.
    Follow {
        /// What is asked for.
        request: FollowRequest,
        /// Takes the messages of the stream.
        tx: StreamSender,
    },
    /// The highest accepted version was confirmed for a stream.
    StreamConfirmed {
        /// The stream.
        stream: StreamId,
        /// The version.
        version: Version,
    },
    /// Asks for the tree as a snapshot.
    Tree {
        /// Version; the present one if absent.
        at: Option<Version>,
        /// Takes the snapshot.
        reply: oneshot::Sender<Result<Update, Refusal>>,
    },
    /// Asks for accepted changes, oldest first.
    History {
        /// SettingsClient after this version.
        since: Version,
        /// Largest number of changes; the newest are returned.
        limit: usize,
        /// Takes the changes.
        reply: oneshot::Sender<Vec<Change>>,
    },
    /// Asks for the state of this instance.
    Status {
        /// Takes the state.
        reply: oneshot::Sender<StatusReply>,
    },
    /// SettingsClient one voter of the settings log.
    ChangeVoters {
        /// The change.
        change: VoterChange,
        /// Takes what became of it.
        reply: oneshot::Sender<ProposalResult>,
    },
    /// Gives up the lead before the process stops.
    HandOver,
}
