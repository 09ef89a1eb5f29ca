//! Remote procedure calls between the instances of a fleet, by tarpc.

use std::time::Duration;

use kqr_agreement::{Message, VoterId};
use kqr_dispatch::{Delivery, OpenedSession, OrderId, ReceiverTime};
use kqr_fleet::{
    CatalogVersion, Evacuation, PackedCatalog, ReportReceipt, SyncReply, SyncRequest, TargetReport,
};
use kqr_types::{Incarnation, InstanceId};

use crate::control::ControlCallFailure;

/// Calls that a control instance serves.
#[tarpc::service]
pub(crate) trait ControlRpc {
    /// Delivers messages of the replicated log.
    async fn deliver(from: VoterId, messages: Vec<Message>);
    /// Requests to join the replicated log. Returns the leader, if another instance is known to lead.
    async fn join(voter: VoterId) -> Option<InstanceId>;
    /// Exchanges the state of an entry for the current catalog and view.
    async fn sync(request: SyncRequest) -> SyncReply;
    /// Replaces the catalog. An instance that is not the leader returns the leader instead, if it is known.
    async fn replace_catalog(catalog: PackedCatalog) -> Result<CatalogVersion, ControlCallFailure>;
    /// Returns the newest catalog, if there is one. An instance that is not the leader returns the leader
    /// instead, if it is known.
    async fn newest_catalog() -> Result<Option<PackedCatalog>, ControlCallFailure>;
    /// Handles the report of a target. An instance that is not the leader returns the leader instead, if it
    /// is known.
    async fn report(report: TargetReport) -> Result<ReportReceipt, ControlCallFailure>;
    /// Begins or finishes the evacuation of a data centre. An instance that is not the leader returns the leader instead, if
    /// it is known.
    async fn evacuate(evacuation: Evacuation) -> Result<(), ControlCallFailure>;
}

/// Calls that every instance serves, so that instances find control through the seeds.
#[tarpc::service]
pub(crate) trait DiscoveryRpc {
    /// Announces a control instance, if one is given, and returns the known ones with the time since each was heard of.
    async fn announce(control: Option<InstanceId>) -> Vec<(InstanceId, Duration)>;
    /// Delivers a message of the founding.
    async fn deliver_founding(from: VoterId, message: Message);
    /// Registers a control instance with an empty disk for the founding by at least `min_founders` instances. Returns the
    /// founders if they are known.
    async fn register_founder(candidate: InstanceId, min_founders: usize) -> Option<Vec<InstanceId>>;
}

/// Calls that an entry serves to its siblings.
#[tarpc::service]
pub(crate) trait SiblingRpc {
    /// Opens a session, which replaces the earlier one of `from`. The sender has dropped the receiver's
    /// orders up to `dropped`.
    async fn open(from: InstanceId, incarnation: Incarnation, dropped: OrderId) -> OpenedSession;
    /// Delivers messages. Returns the clock of the receiver, or `None` if the session is not open any more.
    ///
    /// A session expires when the sibling timeout has passed since its last message was sent, so that a delayed message is
    /// not accepted after its sender has counted it as lost.
    async fn deliver(from: InstanceId, delivery: Delivery) -> Option<ReceiverTime>;
}
