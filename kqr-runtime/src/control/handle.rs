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

use super::request::Request;
use crate::{calls::ControlCallsClient, frames};

/// Longest time for an answer of the log. Callers turn to another instance after a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time for a report to pass on to the leader.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a control instance can't answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlCallFailure {
    /// The leader, if it is another instance that is known.
    pub leader: Option<InstanceId>,
    /// Whether what was asked for may have been done.
    pub is_unknown: bool,
}

impl ControlCallFailure {
    /// Returns that there was no answer.
    const fn unknown() -> Self {
        Self {
            leader: None,
            is_unknown: true,
        }
    }
}

/// Access to the control instance of this process.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    own: InstanceId,
    tx: mpsc::Sender<Request>,
}

impl ControlHandle {
    pub(super) const fn new(own: InstanceId, tx: mpsc::Sender<Request>) -> Self {
        Self { own, tx }
    }

    /// Has a valid catalog accepted. Returns the version in force afterwards.
    ///
    /// # Errors
    ///
    /// Fails if this instance can't tell that it is accepted.
    pub async fn replace_catalog(&self, catalog: Catalog) -> Result<CatalogVersion, ControlCallFailure> {
        let (reply, rx) = oneshot::channel();
        let catalog = Box::new(catalog);
        self.ask(Request::Replace { catalog, reply }, rx, ANSWER_TIMEOUT)
            .await
            .unwrap_or_else(|| Err(ControlCallFailure::unknown()))
    }

    /// Returns the newest catalog.
    ///
    /// # Errors
    ///
    /// Fails if this instance can't be sure which one is the newest.
    pub async fn newest_catalog(&self) -> Result<Option<Arc<Catalog>>, ControlCallFailure> {
        let (reply, rx) = oneshot::channel();
        self.ask(Request::Read { reply }, rx, ANSWER_TIMEOUT)
            .await
            .unwrap_or_else(|| Err(ControlCallFailure::unknown()))
    }

    /// Takes what a target says of itself, here or at the leader.
    ///
    /// # Errors
    ///
    /// Fails if no leader can be reached.
    pub async fn submit_target_report(
        &self,
        report: TargetReport,
    ) -> Result<ReportReceipt, ControlCallFailure> {
        match self.report_here(report.clone()).await {
            Some(Ok(receipt)) => Ok(receipt),
            Some(Err(Some(leader))) if leader != self.own => {
                let forwarded = tokio::time::timeout(FORWARD_TIMEOUT, forward(&leader, report)).await;
                let receipt = forwarded.ok().flatten();
                receipt.ok_or(ControlCallFailure {
                    leader: Some(leader),
                    is_unknown: true,
                })
            }
            _ => Err(ControlCallFailure::unknown()),
        }
    }

    pub(super) async fn report_here(
        &self,
        report: TargetReport,
    ) -> Option<Result<ReportReceipt, Option<InstanceId>>> {
        let (reply, rx) = oneshot::channel();
        self.ask(Request::Report { report, reply }, rx, FORWARD_TIMEOUT)
            .await
    }

    pub(super) async fn sync(&self, request: SyncRequest) -> SyncReply {
        let (reply, rx) = oneshot::channel();
        let request = Box::new(request);
        self.ask(Request::Sync { request, reply }, rx, FORWARD_TIMEOUT)
            .await
            .unwrap_or(SyncReply::NotLeader { leader: None })
    }

    pub(super) async fn join(&self, voter: VoterId) -> Option<InstanceId> {
        let (reply, rx) = oneshot::channel();
        self.ask(Request::Join { voter, reply }, rx, FORWARD_TIMEOUT)
            .await?
    }

    pub(super) fn deliver(&self, from: VoterId, message: Message) {
        self.tell(Request::Message { from, message });
    }

    pub(super) fn tell(&self, request: Request) {
        // The driver has ended only when the process is about to end.
        if self.tx.send(request).is_err() {
            log::debug!("the driver of the replicated log has ended");
        }
    }

    async fn ask<Answer>(
        &self,
        request: Request,
        rx: oneshot::Receiver<Answer>,
        limit: Duration,
    ) -> Option<Answer> {
        self.tell(request);
        tokio::time::timeout(limit, rx).await.ok()?.ok()
    }
}

/// Passes a report on to the leader.
async fn forward(leader: &InstanceId, report: TargetReport) -> Option<ReportReceipt> {
    let address: SocketAddr = leader.as_str().parse().ok()?;
    let stream = match frames::connect(address).await {
        Ok(stream) => stream,
        Err(error) => {
            log::warn!("passing a report on to {leader}: {error}");
            return None;
        }
    };
    let client = ControlCallsClient::new(client::Config::default(), frames::messages_of(stream)).spawn();
    match client.report(context::current(), report).await {
        Ok(answer) => answer.ok(),
        Err(error) => {
            log::warn!("passing a report on to {leader}: {error}");
            None
        }
    }
}
