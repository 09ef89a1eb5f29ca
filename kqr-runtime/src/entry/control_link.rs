use std::{sync::Arc, time::Duration};

use eyre::WrapErr;
use futures::{StreamExt, stream::FuturesUnordered};
use kqr_dispatch::{Input, Traffic, encoded_bytes};
use kqr_fleet::{
    CatalogPart, CatalogReceiver, EntryInfo, SyncReply, SyncRequest, SyncView, TargetReport, ViewRevision,
};
use kqr_types::InstanceId;
use tarpc::{client, context};
use tokio::time::Instant;

use super::{EntryDriver, TargetClient};
use crate::{discovery::KnownControls, rpc::ControlRpcClient, transport};

/// Interval between exchanges with control. A change is in force on all entries after a few of them.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between exchanges after the contact with control is restored. The owners of targets are about to
/// be assigned then.
const SETTLING_SYNC_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which that interval is used: the grace period of a new leader and some exchanges.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Timeout of an exchange: some round trips and one lost packet.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the next exchange after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Interval between searches for the leader, each of which takes a connection to every control instance.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// The link of an entry to the leading control instance.
#[derive(Debug)]
pub(super) struct ControlLink<Client>
where
    Client: TargetClient,
{
    driver: Arc<EntryDriver<Client>>,
    controls: Arc<KnownControls>,
    /// The leader, as far as it is known.
    leader: Option<InstanceId>,
    /// Open connection and the instance at its other end.
    connection: Option<(InstanceId, ControlRpcClient)>,
    /// Revision of the last applied view.
    view_revision: ViewRevision,
    /// The entries in the last view that listed them.
    entries: Vec<EntryInfo>,
    /// The catalog that is being received.
    catalog: CatalogReceiver,
    /// Reports of targets that control has not acknowledged.
    pending_reports: Vec<TargetReport>,
    /// Whether the last exchange failed, or none has succeeded yet.
    is_lost: bool,
    /// When the contact with control was last restored.
    regained_at: Option<Instant>,
}

impl<Client> ControlLink<Client>
where
    Client: TargetClient,
{
    /// Creates the link to one of the `controls`.
    pub(super) fn new(driver: Arc<EntryDriver<Client>>, controls: Arc<KnownControls>) -> Self {
        Self {
            driver,
            controls,
            leader: None,
            connection: None,
            view_revision: ViewRevision::default(),
            entries: Vec::new(),
            catalog: CatalogReceiver::default(),
            pending_reports: Vec::new(),
            is_lost: true,
            regained_at: None,
        }
    }

    /// Exchanges state with control periodically, and tries another instance after a failure.
    pub(super) async fn run(mut self) {
        loop {
            let delay = match self.sync().await {
                Ok(()) if self.catalog.progress().is_some() => Duration::ZERO,
                Ok(()) if self.is_settling() => SETTLING_SYNC_INTERVAL,
                Ok(()) => SYNC_INTERVAL,
                Err(error) => {
                    if !self.is_lost {
                        let fields = [("cause", error.to_string())];
                        kqr_telemetry::log_decision("control-lost", &fields);
                    }
                    self.is_lost = true;
                    self.controls.set_leader(None);
                    match &self.leader {
                        Some(_) => RETRY_DELAY,
                        None => SEARCH_INTERVAL,
                    }
                }
            };
            tokio::time::sleep(delay).await;
        }
    }

    /// Returns whether the owners of targets may be about to change, as after a change of the leader.
    fn is_settling(&self) -> bool {
        self.regained_at.is_some_and(|at| at.elapsed() < SETTLING_TIME)
    }

    /// Exchanges state with the leader, which is looked for among all known instances if it is unknown.
    async fn sync(&mut self) -> eyre::Result<()> {
        let sent_at = self.driver.clock().now();
        let request = self.create_request();
        let sent_bytes = encoded_bytes(&request);
        let (instance, reply) = match self.leader.take() {
            Some(leader) => match self.send_request(&leader, request).await {
                Ok(reply) => (leader, reply),
                Err(error) => {
                    self.connection = None;
                    return Err(error.wrap_err(format!("control instance {leader}")));
                }
            },
            None => self.send_to_all(request).await?,
        };
        self.driver
            .dispatcher()
            .record_traffic(sent_at, Traffic::Control, sent_bytes, encoded_bytes(&reply));
        match reply {
            SyncReply::Current { catalog, view } => {
                self.pending_reports.clear();
                if self.is_lost {
                    let fields = [("control", instance.to_string())];
                    kqr_telemetry::log_decision("control-regained", &fields);
                    self.is_lost = false;
                    self.regained_at = Some(Instant::now());
                }
                self.controls.set_leader(Some(instance.clone()));
                self.leader = Some(instance);
                self.receive_catalog(catalog, sent_at)?;
                if let Some(view) = view {
                    self.apply_view(view);
                }
                Ok(())
            }
            SyncReply::NotLeader { leader } => {
                self.leader = leader.filter(|leader| *leader != instance);
                eyre::bail!("control instance {instance} is not the leader")
            }
        }
    }

    /// Takes the part of the catalog in an answer to a request that was sent at `sent_at`. An answer without one confirms the
    /// catalog in force.
    fn receive_catalog(
        &mut self,
        part: Option<CatalogPart>,
        sent_at: kqr_types::Instant,
    ) -> eyre::Result<()> {
        if let Some(part) = part {
            let Some(catalog) = self.catalog.add(part).wrap_err("unpacking the catalog")? else {
                return Ok(());
            };
            self.driver.apply_catalog(catalog);
        }
        self.driver.confirm_catalog(sent_at);
        Ok(())
    }

    /// Sends a request to all known control instances at the same time, so that those that are gone delay no other. Returns the
    /// first reply that leads to the leader.
    async fn send_to_all(&mut self, request: SyncRequest) -> eyre::Result<(InstanceId, SyncReply)> {
        let mut calls = FuturesUnordered::new();
        for instance in self.controls.list() {
            let request = request.clone();
            calls.push(async move {
                let client = connect(&instance).await?;
                let reply = call(&client, request).await?;
                eyre::Ok((instance, client, reply))
            });
        }
        while let Some(result) = calls.next().await {
            let Ok((instance, client, reply)) = result else {
                continue;
            };
            match &reply {
                SyncReply::NotLeader { leader: None } => {}
                SyncReply::NotLeader { leader: Some(_) } => return Ok((instance, reply)),
                SyncReply::Current { .. } => {
                    self.connection = Some((instance.clone(), client));
                    return Ok((instance, reply));
                }
            }
        }
        eyre::bail!("no known control instance knows the leader")
    }

    fn create_request(&mut self) -> SyncRequest {
        let now = self.driver.clock().now();
        let catalog = self.driver.catalog().map(|catalog| catalog.version);
        let mut dispatcher = self.driver.dispatcher();
        self.pending_reports.extend(dispatcher.take_reports());
        SyncRequest {
            entry: EntryInfo {
                is_leaving: self.driver.is_leaving(),
                ..self.driver.own.clone()
            },
            catalog,
            catalog_progress: self.catalog.progress(),
            view: self.view_revision,
            released: dispatcher.releasable_targets(),
            heard: dispatcher.live_siblings(now),
            reports: self.pending_reports.clone(),
            unreachable: dispatcher.unreachable_targets(now),
        }
    }

    async fn send_request(&mut self, instance: &InstanceId, request: SyncRequest) -> eyre::Result<SyncReply> {
        let client = match &self.connection {
            Some((peer, client)) if peer == instance => client.clone(),
            _ => {
                let client = connect(instance).await?;
                self.connection = Some((instance.clone(), client.clone()));
                client
            }
        };
        call(&client, request).await
    }

    fn apply_view(&mut self, view: SyncView) {
        if let Some(entries) = view.entries {
            self.entries = entries;
        }
        let fields = [
            ("revision", view.revision.number.to_string()),
            ("entries", self.entries.len().to_string()),
            ("targets", view.owned.len().to_string()),
        ];
        kqr_telemetry::log_decision("view-applied", &fields);
        self.view_revision = view.revision;
        self.controls.record(view.controls);
        self.driver.handle_input(Input::ViewChanged {
            entries: self.entries.clone(),
            owned: view.owned,
        });
        self.driver.update_sibling_links();
    }
}

async fn connect(instance: &InstanceId) -> eyre::Result<ControlRpcClient> {
    let stream = transport::connect(instance.as_str().parse()?).await?;
    Ok(ControlRpcClient::new(client::Config::default(), transport::framed(stream)).spawn())
}

async fn call(client: &ControlRpcClient, request: SyncRequest) -> eyre::Result<SyncReply> {
    let call = client.sync(context::current(), request);
    Ok(tokio::time::timeout(SYNC_TIMEOUT, call).await??)
}
