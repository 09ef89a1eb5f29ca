use kqr_agreement::{Message, VoterId};

use super::CallId;
use crate::Catalog;

/// Input of the [`FleetNode`](super::FleetNode).
#[derive(Clone, Debug, PartialEq)]
pub enum FleetInput {
    /// Time has passed.
    Tick,
    /// A message of the replicated log arrived.
    Message {
        /// Member that sent it.
        from: VoterId,
        /// The message.
        message: Message,
    },
    /// A catalog is to be accepted.
    Replace {
        /// Call that waits for the answer.
        call: CallId,
        /// The catalog; it was validated.
        catalog: Box<Catalog>,
    },
    /// The newest catalog is asked for.
    Read {
        /// Call that waits for the answer.
        call: CallId,
    },
    /// A control instance that is not in the log's configuration asks to be taken in.
    Join {
        /// The instance with its storage.
        voter: VoterId,
    },
    /// The instance is about to stop: give up the lead.
    HandOver,
}
