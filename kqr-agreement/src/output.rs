use serde::{Deserialize, Serialize};

use crate::{Configuration, Index, Message, Record, RequestId, RoleView, Term, VoterId};

/// Why a request was refused. Nothing of it is in any log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// This member does not lead.
    NotLeader {
        /// The leader, if known.
        leader: Option<VoterId>,
    },
    /// Another voter change has not been committed yet, or the leader has not committed an entry of its term yet.
    ChangePending,
    /// The change alters nothing, names a stranger, or would leave no voter.
    ChangeInvalid,
    /// The learner has not caught up yet.
    LearnerBehind,
}

/// What became of a proposal or a voter change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ProposalResult {
    /// It is committed and was put out as applied.
    Committed {
        /// Its position.
        index: Index,
        /// Its term.
        term: Term,
    },
    /// It was refused.
    Refused(Refusal),
    /// This member lost the lead before it learned whether the entry is committed; it may be or become so.
    Unknown {
        /// The new leader, if known.
        leader: Option<VoterId>,
    },
}

/// An effect of the machine. Effects are performed in order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Output {
    /// A message is to be sent; it may be lost.
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
        /// Its position.
        index: Index,
        /// Its term.
        term: Term,
        /// Command.
        command: Vec<u8>,
    },
    /// The application's state is to be replaced.
    Restore {
        /// Index of the last entry that the state contains.
        index: Index,
        /// State in the application's own form.
        snapshot: Vec<u8>,
    },
    /// A proposal or voter change has ended.
    Proposed {
        /// Number of the request.
        request: RequestId,
        /// What became of it.
        result: ProposalResult,
    },
    /// A read may be made: every command up to the index was put out before.
    ReadReady {
        /// Number of the request.
        request: RequestId,
        /// Committed index that the read reflects at least.
        index: Index,
    },
    /// A read can't be made here.
    ReadFailed {
        /// Number of the request.
        request: RequestId,
        /// The leader, if known.
        leader: Option<VoterId>,
    },
    /// A configuration is committed.
    VotersChanged {
        /// Its position.
        index: Index,
        /// Configuration.
        configuration: Configuration,
    },
    /// Role, term or known leader have changed.
    RoleChanged(RoleView),
}
