use std::sync::Arc;

use kqr_agreement::{Message, VoterId};
use kqr_fleet::{Catalog, CatalogVersion, Evacuation, ReportReceipt, SyncReply, SyncRequest, TargetReport};
use kqr_types::InstanceId;
use tokio::sync::oneshot;

use super::ControlCallFailure;

/// A request to the thread that runs the control instance's [`Driver`](super::driver::Driver).
#[derive(Debug)]
pub(super) enum Request {
    Message {
        from: VoterId,
        message: Message,
    },
    Replace {
        catalog: Box<Catalog>,
        reply: oneshot::Sender<Result<CatalogVersion, ControlCallFailure>>,
    },
    Read {
        reply: oneshot::Sender<Result<Option<Arc<Catalog>>, ControlCallFailure>>,
    },
    Evacuate {
        evacuation: Evacuation,
        reply: oneshot::Sender<Result<(), ControlCallFailure>>,
    },
    Sync {
        request: Box<SyncRequest>,
        reply: oneshot::Sender<SyncReply>,
    },
    Report {
        report: TargetReport,
        reply: oneshot::Sender<Result<ReportReceipt, ControlCallFailure>>,
    },
    Join {
        voter: VoterId,
        reply: oneshot::Sender<Option<InstanceId>>,
    },
    /// The founders of the system are agreed.
    Founded(Vec<InstanceId>),
    HandOver,
    Stop,
}
