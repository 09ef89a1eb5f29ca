use kqr_agreement::{Message, VoterId};

use super::CallId;
use crate::{Catalog, Evacuation, TargetReport};

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
    /// An operator replaces the catalog.
    Replace {
        /// Call that waits for the answer.
        call: CallId,
        /// The catalog, which must be valid.
        catalog: Box<Catalog>,
    },
    /// An operator reads the newest catalog.
    Read {
        /// Call that waits for the answer.
        call: CallId,
    },
    /// An operator begins or finishes the evacuation of a data centre.
    Evacuate {
        /// Call that waits for the answer.
        call: CallId,
        /// The change.
        evacuation: Evacuation,
    },
    /// A target reports. If it is about to leave, the answer waits until that is replicated.
    Report {
        /// Call that waits for the answer.
        call: CallId,
        /// The report.
        report: Box<TargetReport>,
    },
    /// A control instance that is not in the log's configuration requests to join it.
    Join {
        /// The instance with the incarnation of its storage.
        voter: VoterId,
    },
    /// The instance is about to stop: it transfers leadership, and then its vote if an instance is there to take it.
    HandOver,
}
