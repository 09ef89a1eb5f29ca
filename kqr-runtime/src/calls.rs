//! Calls between the instances of a fleet, carried by tarpc.

use kqr_agreement::{Message, VoterId};
use kqr_dispatch::{OrderId, SiblingMessage};
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
    /// Opens a session of the caller, which ends its former one; the caller has dropped the orders of the called entry up to
    /// `dropped`. Returns the number of the session.
    async fn open(from: InstanceId, incarnation: Incarnation, dropped: OrderId) -> u64;
    /// Hands over messages, numbered from `first` on within a session. Returns whether the session is still open: it ends
    /// when nothing was heard of the caller for the time of silence, so that a message that was held up on its way is not
    /// taken after the caller has counted it as lost.
    async fn deliver(from: InstanceId, session: u64, first: u64, messages: Vec<SiblingMessage>) -> bool;
}
