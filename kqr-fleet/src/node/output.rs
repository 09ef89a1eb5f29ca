use std::sync::Arc;

use kqr_agreement::{Configuration, Index, Message, Record, RoleView, VoterId};
use kqr_types::InstanceId;

use super::CallId;
use crate::{Catalog, CatalogVersion, ReportReceipt};

/// Output of the [`FleetNode`](super::FleetNode). Outputs are performed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetOutput {
    /// A message of the replicated log is to be sent.
    Send {
        /// Receiver.
        to: VoterId,
        /// The message.
        message: Message,
    },
    /// A record is to be synced before any later output is performed.
    Persist(Record),
    /// A catalog is accepted, or one with the same or a higher version is in force already.
    Accepted {
        /// The call.
        call: CallId,
        /// Version of the catalog in force.
        version: CatalogVersion,
    },
    /// A read has completed. It reflects all catalogs that were accepted before the call.
    CatalogRead {
        /// The call.
        call: CallId,
        /// The catalog in force, or `None` if none was ever accepted.
        catalog: Option<Arc<Catalog>>,
    },
    /// The change of an evacuation is committed.
    EvacuationRecorded {
        /// The call.
        call: CallId,
    },
    /// A report of a target is recorded.
    Reported {
        /// The call.
        call: CallId,
        /// The answer to the target.
        receipt: ReportReceipt,
    },
    /// A call can't be completed by this instance.
    CallFailed {
        /// The call.
        call: CallId,
        /// The leader, if it is known.
        leader: Option<InstanceId>,
        /// Whether the outcome is unknown: the change may have been accepted, or may be later.
        is_unknown: bool,
    },
    /// This instance applied a catalog.
    CatalogApplied {
        /// Version of the catalog.
        version: CatalogVersion,
    },
    /// The role, the term or the known leader has changed.
    RoleChanged(RoleView),
    /// The voters and learners of the log are known: a change of them is committed, or the log begins with them.
    MembersChanged {
        /// Index in the log.
        index: Index,
        /// The members from then on.
        configuration: Configuration,
    },
    /// A decision to write to the event log.
    Decision {
        /// Description of the decision.
        detail: String,
    },
    /// The state machine can't continue. The process must stop.
    Failed {
        /// Description of the error.
        detail: String,
    },
}
