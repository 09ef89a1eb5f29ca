use serde::{Deserialize, Serialize};

use crate::{Index, Message, RequestId, VoterChange, VoterId};

/// An input of the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// Time has passed. The caller sends several ticks in each heartbeat interval.
    Tick,
    /// A message has arrived.
    Message {
        /// Sender.
        from: VoterId,
        /// Message.
        message: Message,
    },
    /// A command is to be appended to the log.
    Propose {
        /// Identifier of the request.
        request: RequestId,
        /// Command.
        command: Vec<u8>,
    },
    /// A linearizable read is to be made.
    Read {
        /// Identifier of the request.
        request: RequestId,
    },
    /// One member is to be added, promoted or removed.
    ChangeVoters {
        /// Identifier of the request.
        request: RequestId,
        /// Change.
        change: VoterChange,
    },
    /// Leadership, if this member holds it, is to be transferred to the voter with the most up-to-date log.
    HandOver,
    /// This member is about to end, which the leader is told if it is another one.
    AnnounceEnd,
    /// The application has taken a snapshot; entries up to its index are dropped.
    Compact {
        /// Index of the last entry that the snapshot contains.
        index: Index,
        /// State in the application's encoding.
        snapshot: Vec<u8>,
    },
}
