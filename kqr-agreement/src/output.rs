use serde::{Deserialize, Serialize};

use crate::{Configuration, Index, Message, Record, RequestId, RoleView, Term, VoterId};

/// Reason for which a request was refused. A refused request is in no member's log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// This member does not lead.
    NotLeader {
        /// The leader, if it is known.
        leader: Option<VoterId>,
    },
    /// An earlier voter change is uncommitted, or the leader has not committed an entry of its term yet.
    ChangePending,
    /// The change has no effect, names an unknown member or would leave no voter.
    ChangeInvalid,
    /// The learner has not caught up yet.
    LearnerBehind,
}

/// Outcome of a proposal or a voter change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ProposalResult {
    /// The entry is committed, and a command was emitted as [`Output::Apply`].
    Committed {
        /// Index in the log.
        index: Index,
        /// Term of the entry.
        term: Term,
    },
    /// The request was refused.
    Refused(Refusal),
    /// This member lost leadership before it learned whether the entry is committed. The entry may be
    /// committed already or later.
    Unknown {
        /// The new leader, if known.
        leader: Option<VoterId>,
    },
}

/// An effect that the caller performs. Effects are performed in order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Output {
    /// A message is to be sent. Delivery is not guaranteed.
    Send {
        /// Receiver.
        to: VoterId,
        /// Message.
        message: Message,
    },
    /// A record is to be synced before any later output is performed.
    Persist(Record),
    /// A committed command is to be applied.
    Apply {
        /// Index in the log.
        index: Index,
        /// Term of the entry.
        term: Term,
        /// Command.
        command: Vec<u8>,
    },
    /// The application's state is to be replaced.
    Restore {
        /// Index of the last entry that the state contains.
        index: Index,
        /// State in the application's encoding.
        snapshot: Vec<u8>,
    },
    /// A proposal or voter change has completed.
    Proposed {
        /// Identifier of the request.
        request: RequestId,
        /// Outcome.
        result: ProposalResult,
    },
    /// A read may proceed: every command up to the index was emitted before this output.
    ReadReady {
        /// Identifier of the request.
        request: RequestId,
        /// Lowest commit index that the read reflects.
        index: Index,
    },
    /// A read can't be served by this member.
    ReadFailed {
        /// Identifier of the request.
        request: RequestId,
        /// The leader, if it is known.
        leader: Option<VoterId>,
    },
    /// A configuration is known to be committed: by an entry, or by the founding or snapshot with which the log begins.
    VotersChanged {
        /// Index in the log.
        index: Index,
        /// Configuration.
        configuration: Configuration,
    },
    /// The role, the term or the known leader has changed.
    RoleChanged(RoleView),
}
