use std::sync::Arc;

use kqr_agreement::{Message, Record, RoleView, VoterId};
use kqr_types::InstanceId;

use super::CallId;
use crate::{Catalog, CatalogVersion};

/// Output of the [`FleetNode`](super::FleetNode). Outputs are performed in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetOutput {
    /// Send a message of the replicated log.
    Send {
        /// Receiver.
        to: VoterId,
        /// The message.
        message: Message,
    },
    /// Sync a record before any later output is performed.
    Persist(Record),
    /// A catalog is accepted, or one with the same or a higher version was before.
    Accepted {
        /// The call.
        call: CallId,
        /// Version in force.
        version: CatalogVersion,
    },
    /// The newest catalog; all catalogs that were accepted before the call are reflected.
    CatalogRead {
        /// The call.
        call: CallId,
        /// The catalog, or `None` if none was ever accepted.
        catalog: Option<Arc<Catalog>>,
    },
    /// A call can't be answered here; a catalog may be accepted all the same if `is_unknown`.
    CallFailed {
        /// The call.
        call: CallId,
        /// The leader, if it is known.
        leader: Option<InstanceId>,
        /// Whether the outcome is unknown.
        is_unknown: bool,
    },
    /// A catalog came into force here.
    CatalogApplied {
        /// Its version.
        version: CatalogVersion,
    },
    /// Role, term or leader changed.
    RoleChanged(RoleView),
    /// A decision for the log.
    Decision {
        /// What was decided, and on what.
        detail: String,
    },
    /// The state can't be continued; the process must stop.
    Failed {
        /// What went wrong.
        detail: String,
    },
}
