//! Calls between the instances of a fleet, carried by tarpc.

use kqr_agreement::{Message, VoterId};
use kqr_dispatch::SiblingMessage;
use kqr_fleet::{ReportReceipt, SyncReply, SyncRequest, TargetReport};
use kqr_types::{Incarnation, InstanceId};

/// Calls that a control instance answers.
#[tarpc::service]
pub(crate) trait ControlCalls {
    /// Hands over messages of the replicated log.
    async fn deliver(from: VoterId, messages: Vec<Message>);
    /// Asks to be taken into the replicated log; an instance that does not lead names the leader.
    async fn join(voter: VoterId) -> Option<InstanceId>;
    /// Exchanges what an entry knows for what it has to know.
    async fn sync(request: SyncRequest) -> SyncReply;
    /// Takes what a target says of itself; an instance that does not lead names the leader.
    async fn report(report: TargetReport) -> Result<ReportReceipt, Option<InstanceId>>;
}

/// Calls that an entry answers to its siblings.
#[tarpc::service]
pub(crate) trait SiblingCalls {
    /// Hands over messages, numbered from `first` on within an epoch of the link. Messages that were handed over before
    /// are dropped.
    async fn deliver(
        from: InstanceId,
        incarnation: Incarnation,
        epoch: u64,
        first: u64,
        messages: Vec<SiblingMessage>,
    );
}
