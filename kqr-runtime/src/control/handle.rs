use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    time::Duration,
};

use kqr_agreement::{Message, VoterId};
use kqr_fleet::{Catalog, CatalogVersion, ReportReceipt, SyncReply, SyncRequest, TargetReport};
use kqr_types::InstanceId;
use tarpc::{client, context};
use tokio::sync::oneshot;

use super::{driver_state::DriverState, request::Request};
use crate::{rpc::ControlRpcClient, transport};

/// Timeout of a call to the replicated log. It ends before callers try another instance, which they do after
/// a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of a report, a sync or a join, and of forwarding a report to the leader.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(400);

/// Failure of a call to a control instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlCallFailure {
    /// The leader, if another instance is known to lead.
    pub leader: Option<InstanceId>,
    /// Whether the outcome is unknown, so that the call may have had its effect.
    pub is_unknown: bool,
}

impl ControlCallFailure {
    /// Returns the failure of a call without an answer.
    const fn no_answer() -> Self {
        Self {
            leader: None,
            is_unknown: true,
        }
    }
}

/// Handle of the control instance of this process.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    own: InstanceId,
    tx: mpsc::Sender<Request>,
    driver: Arc<DriverState>,
}

impl ControlHandle {
    pub(super) const fn new(own: InstanceId, tx: mpsc::Sender<Request>, driver: Arc<DriverState>) -> Self {
        Self { own, tx, driver }
    }

    /// Replaces the catalog by a valid one. Returns the version that is in force afterwards.
    ///
    /// # Errors
    ///
    /// Fails if this instance can't confirm that the catalog was accepted.
    pub async fn replace_catalog(&self, catalog: Catalog) -> Result<CatalogVersion, ControlCallFailure> {
        let (reply, rx) = oneshot::channel();
        let catalog = Box::new(catalog);
        self.call(Request::Replace { catalog, reply }, rx, ANSWER_TIMEOUT)
            .await
            .unwrap_or_else(|| Err(ControlCallFailure::no_answer()))
    }

    /// Returns the newest catalog, or `None` if none was ever accepted.
    ///
    /// # Errors
    ///
    /// Fails if this instance can't confirm which catalog is the newest.
    pub async fn newest_catalog(&self) -> Result<Option<Arc<Catalog>>, ControlCallFailure> {
        let (reply, rx) = oneshot::channel();
        self.call(Request::Read { reply }, rx, ANSWER_TIMEOUT)
            .await
            .unwrap_or_else(|| Err(ControlCallFailure::no_answer()))
    }

    /// Handles the report of a target on this instance, or forwards it to the leader.
    ///
    /// # Errors
    ///
    /// Fails if no leader is known or reachable.
    pub async fn submit_target_report(
        &self,
        report: TargetReport,
    ) -> Result<ReportReceipt, ControlCallFailure> {
        match self.report_locally(report.clone()).await {
            Some(Ok(receipt)) => Ok(receipt),
            Some(Err(Some(leader))) if leader != self.own => {
                let forwarded = tokio::time::timeout(FORWARD_TIMEOUT, forward_report(&leader, report)).await;
                let receipt = forwarded.ok().flatten();
                receipt.ok_or(ControlCallFailure {
                    leader: Some(leader),
                    is_unknown: true,
                })
            }
            _ => Err(ControlCallFailure::no_answer()),
        }
    }

    pub(super) async fn report_locally(
        &self,
        report: TargetReport,
    ) -> Option<Result<ReportReceipt, Option<InstanceId>>> {
        let (reply, rx) = oneshot::channel();
        self.call(Request::Report { report, reply }, rx, FORWARD_TIMEOUT)
            .await
    }

    pub(super) async fn sync(&self, request: SyncRequest) -> SyncReply {
        let (reply, rx) = oneshot::channel();
        let request = Box::new(request);
        self.call(Request::Sync { request, reply }, rx, FORWARD_TIMEOUT)
            .await
            .unwrap_or(SyncReply::NotLeader { leader: None })
    }

    pub(super) async fn join(&self, voter: VoterId) -> Option<InstanceId> {
        let (reply, rx) = oneshot::channel();
        self.call(Request::Join { voter, reply }, rx, FORWARD_TIMEOUT)
            .await?
    }

    pub(super) fn deliver(&self, from: VoterId, message: Message) {
        self.send(Request::Message { from, message });
    }

    pub(super) fn send(&self, request: Request) {
        // The driver ends only when the process is about to end.
        if self.tx.send(request).is_err() {
            log::debug!("the driver of the replicated log has ended");
        }
    }

    /// Sends a request to the driver and waits for its reply. Returns `None` without one, at once if the driver
    /// is blocked.
    async fn call<Reply>(
        &self,
        request: Request,
        rx: oneshot::Receiver<Reply>,
        timeout: Duration,
    ) -> Option<Reply> {
        if self.driver.is_blocked() {
            return None;
        }
        self.send(request);
        tokio::select! {
            biased;
            reply = tokio::time::timeout(timeout, rx) => reply.ok()?.ok(),
            () = self.driver.wait_until_blocked() => None,
        }
    }
}

/// Forwards a report to the leader. Returns `None` if the leader doesn't accept it.
async fn forward_report(leader: &InstanceId, report: TargetReport) -> Option<ReportReceipt> {
    let address: SocketAddr = leader.as_str().parse().ok()?;
    let stream = match transport::connect(address).await {
        Ok(stream) => stream,
        Err(error) => {
            log::warn!("forwarding a report to {leader} failed: {error}");
            return None;
        }
    };
    let client = ControlRpcClient::new(client::Config::default(), transport::framed(stream)).spawn();
    match client.report(context::current(), report).await {
        Ok(answer) => answer.ok(),
        Err(error) => {
            log::warn!("forwarding a report to {leader} failed: {error}");
            None
        }
    }
}
