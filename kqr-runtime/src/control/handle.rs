use std::{
    sync::{Arc, mpsc},
    time::{Duration, Instant},
};

use kqr_agreement::{Message, VoterId};
use kqr_fleet::{Catalog, CatalogVersion, Evacuation, ReportReceipt, SyncReply, SyncRequest, TargetReport};
use kqr_telemetry::Metrics;
use kqr_types::InstanceId;
use tokio::sync::oneshot;

use super::{ControlCallFailure, driver_state::DriverState, request::Request};
use crate::{ControlApi, leader_client::LeaderClient};

/// Timeout of a call to the replicated log. It ends before callers try another instance, which they do after
/// a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of a report, a sync or a join.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Handle of the control instance of this process.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    own: InstanceId,
    tx: mpsc::Sender<Request>,
    driver: Arc<DriverState>,
    metrics: Arc<Metrics>,
}

impl ControlHandle {
    pub(super) const fn new(
        own: InstanceId,
        tx: mpsc::Sender<Request>,
        driver: Arc<DriverState>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            own,
            tx,
            driver,
            metrics,
        }
    }

    /// Returns the client of the leader to which a call that arrived at `arrived` and failed here is forwarded.
    ///
    /// # Errors
    ///
    /// Returns the failure if the call may have had its effect, or no other instance is known to lead.
    fn leader_after(
        &self,
        failure: ControlCallFailure,
        arrived: Instant,
    ) -> Result<LeaderClient, ControlCallFailure> {
        match failure.next_leader() {
            Some(leader) if *leader != self.own => Ok(LeaderClient::new(leader.clone(), arrived.elapsed())),
            _ => Err(failure),
        }
    }

    pub(super) async fn replace_catalog_locally(
        &self,
        catalog: Box<Catalog>,
    ) -> Result<CatalogVersion, ControlCallFailure> {
        let (reply, rx) = oneshot::channel();
        self.call(Request::Replace { catalog, reply }, rx, ANSWER_TIMEOUT)
            .await
            .unwrap_or_else(|| Err(ControlCallFailure::no_answer()))
    }

    pub(super) async fn newest_catalog_locally(&self) -> Result<Option<Arc<Catalog>>, ControlCallFailure> {
        let (reply, rx) = oneshot::channel();
        self.call(Request::Read { reply }, rx, ANSWER_TIMEOUT)
            .await
            .unwrap_or_else(|| Err(ControlCallFailure::no_answer()))
    }

    pub(super) async fn evacuate_locally(&self, evacuation: Evacuation) -> Result<(), ControlCallFailure> {
        let (reply, rx) = oneshot::channel();
        self.call(Request::Evacuate { evacuation, reply }, rx, ANSWER_TIMEOUT)
            .await
            .unwrap_or_else(|| Err(ControlCallFailure::no_answer()))
    }

    pub(super) async fn report_locally(
        &self,
        report: TargetReport,
    ) -> Result<ReportReceipt, ControlCallFailure> {
        let (reply, rx) = oneshot::channel();
        self.call(Request::Report { report, reply }, rx, EXCHANGE_TIMEOUT)
            .await
            .unwrap_or_else(|| Err(ControlCallFailure::no_answer()))
    }

    pub(super) async fn sync(&self, request: SyncRequest) -> SyncReply {
        let (reply, rx) = oneshot::channel();
        let request = Box::new(request);
        self.call(Request::Sync { request, reply }, rx, EXCHANGE_TIMEOUT)
            .await
            .unwrap_or(SyncReply::NotLeader { leader: None })
    }

    pub(super) async fn join(&self, voter: VoterId) -> Option<InstanceId> {
        let (reply, rx) = oneshot::channel();
        self.call(Request::Join { voter, reply }, rx, EXCHANGE_TIMEOUT)
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

impl ControlApi for ControlHandle {
    async fn replace_catalog(&self, catalog: Catalog) -> Result<CatalogVersion, ControlCallFailure> {
        let arrived = Instant::now();
        match self.replace_catalog_locally(Box::new(catalog.clone())).await {
            Ok(version) => Ok(version),
            Err(failure) => {
                let leader = self.leader_after(failure, arrived)?;
                leader.replace_catalog(catalog).await
            }
        }
    }

    async fn newest_catalog(&self) -> Result<Option<Arc<Catalog>>, ControlCallFailure> {
        let arrived = Instant::now();
        match self.newest_catalog_locally().await {
            Ok(catalog) => Ok(catalog),
            Err(failure) => {
                let leader = self.leader_after(failure, arrived)?;
                Ok(leader.newest_catalog().await?.map(Arc::new))
            }
        }
    }

    async fn evacuate(&self, evacuation: Evacuation) -> Result<(), ControlCallFailure> {
        let arrived = Instant::now();
        match self.evacuate_locally(evacuation.clone()).await {
            Ok(()) => Ok(()),
            Err(failure) => self.leader_after(failure, arrived)?.evacuate(evacuation).await,
        }
    }

    fn count_refused_report(&self) {
        self.metrics.count_refused_report();
    }

    fn catalog_server(&self) -> Option<InstanceId> {
        None
    }

    async fn submit_target_report(&self, report: TargetReport) -> Result<ReportReceipt, ControlCallFailure> {
        let arrived = Instant::now();
        match self.report_locally(report.clone()).await {
            Ok(receipt) => Ok(receipt),
            Err(failure) => self.leader_after(failure, arrived)?.report(report).await,
        }
    }
}
