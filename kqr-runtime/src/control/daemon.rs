use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread::JoinHandle,
    time::Duration,
};

use arc_swap::ArcSwap;
use eyre::{WrapErr, eyre};
use kqr_agreement::VoterId;
use kqr_telemetry::Metrics;
use kqr_types::InstanceId;
use tarpc::{client, context};
use tokio::{net::TcpListener, runtime::Handle, sync::oneshot};

use super::{
    ControlHandle, ControlSettings, data_folder::DataFolder, driver_state::DriverState,
    replicated_log::ReplicatedLog, request::Request, service,
};
use crate::{
    discovery::{self, DiscoveryService, FoundingMember, KnownControls, KnownEntries},
    rpc::ControlRpcClient,
    transport,
};

/// Interval between requests to join the replicated log.
const JOIN_INTERVAL: Duration = Duration::from_millis(700);
/// Timeout of a request to join the replicated log.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for the transfer of leadership before the process ends.
const HAND_OVER_TIME: Duration = Duration::from_millis(300);

/// A running control instance.
#[derive(Debug)]
pub struct Control {
    handle: ControlHandle,
    driver: JoinHandle<()>,
    driver_result: oneshot::Receiver<eyre::Result<()>>,
    metrics: Arc<Metrics>,
    /// Discovery addresses of the seeds.
    seeds: Arc<ArcSwap<Vec<SocketAddr>>>,
}

impl Control {
    /// Opens the listeners and starts the instance, which becomes a member of the replicated log once its data
    /// folder is open.
    ///
    /// # Errors
    ///
    /// Fails if the settings are inconsistent, or the data folder can't be read, or a listener can't be opened.
    pub async fn start(settings: &ControlSettings) -> eyre::Result<Self> {
        settings.check()?;
        let address = settings.fleet_listen_address();
        let listener = TcpListener::bind(address).await;
        let listener = listener.wrap_err_with(|| format!("opening the listener {address}"))?;
        let own = settings.instance_id()?;
        let seeds = Arc::new(ArcSwap::from_pointee(settings.seed_addresses()));
        let needs_founders = DataFolder::needs_founders(settings)?;
        let entries = Arc::new(KnownEntries::default());
        let (controls, discovery) = start_discovery(settings, &seeds, &entries, needs_founders).await?;
        let (tx, rx) = mpsc::channel();
        let (result_tx, driver_result) = oneshot::channel();
        let metrics = Arc::new(Metrics::new()?);
        let state = Arc::new(DriverState::default());
        let log = ReplicatedLog {
            settings: settings.clone(),
            runtime: Handle::current(),
            controls,
            discovery,
            metrics: Arc::clone(&metrics),
            state: Arc::clone(&state),
        };
        state.mark_closed();
        let driver = std::thread::Builder::new()
            .name("replicated-log".to_owned())
            .spawn(move || drop(result_tx.send(log.run(&rx, needs_founders))))?;
        if needs_founders {
            let (seeds, min_founders) = (Arc::clone(&seeds), settings.voter_count());
            let (own, tx) = (own.clone(), tx.clone());
            tokio::spawn(async move {
                let founders = discovery::find_founders(seeds, own, min_founders).await;
                // The driver ends only when the process is about to end.
                drop(tx.send(Request::Founded(founders)));
            });
        }
        let handle = ControlHandle::new(own, tx, state, Arc::clone(&metrics));
        tokio::spawn(service::serve(listener, handle.clone(), entries));
        Ok(Self {
            handle,
            driver,
            driver_result,
            metrics,
            seeds,
        })
    }

    /// Applies changed settings. Only the seeds can change in a running process.
    ///
    /// # Errors
    ///
    /// Fails if the settings are inconsistent; the previous ones then stay in force.
    pub fn reload(&self, settings: &ControlSettings) -> eyre::Result<()> {
        settings.check()?;
        self.seeds.store(Arc::new(settings.seed_addresses()));
        Ok(())
    }

    /// Returns a handle of the instance.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// Returns the metrics of the instance.
    pub fn metrics(&self) -> Arc<Metrics> {
        Arc::clone(&self.metrics)
    }

    /// Waits until the replicated log stops.
    ///
    /// # Errors
    ///
    /// Returns the error that stopped it.
    pub async fn wait_for_failure(&mut self) -> eyre::Result<()> {
        match (&mut self.driver_result).await {
            Ok(result) => result,
            Err(_) => Err(eyre!("the thread of the replicated log ended unexpectedly")),
        }
    }

    /// Transfers leadership, stops the replicated log and closes the data folder.
    ///
    /// # Errors
    ///
    /// Fails if the data folder can't be closed.
    pub async fn close(self) -> eyre::Result<()> {
        self.handle.send(Request::HandOver);
        tokio::time::sleep(HAND_OVER_TIME).await;
        self.handle.send(Request::Stop);
        let result = self.driver_result.await.unwrap_or(Ok(()));
        drop(self.driver);
        result
    }
}

/// Serves discovery, takes part in the founding if this instance is a seed and `is_founding`, and announces this
/// instance.
async fn start_discovery(
    settings: &ControlSettings,
    seeds: &Arc<ArcSwap<Vec<SocketAddr>>>,
    entries: &Arc<KnownEntries>,
    is_founding: bool,
) -> eyre::Result<(Arc<KnownControls>, DiscoveryService)> {
    let address = settings.discovery_listen_address();
    let listener = TcpListener::bind(address).await;
    let listener = listener.wrap_err_with(|| format!("opening the listener {address}"))?;
    let controls = Arc::new(KnownControls::default());
    let founding = if is_founding {
        FoundingMember::start(settings.discovery_address(), &seeds.load())?
    } else {
        None
    };
    let discovery = DiscoveryService::new(Arc::clone(&controls), founding);
    tokio::spawn(discovery::serve(listener, discovery.clone()));
    let (seeds, own) = (Arc::clone(seeds), settings.instance_id()?);
    tokio::spawn(discovery::announce_periodically(
        seeds,
        own,
        Arc::clone(&controls),
        Arc::clone(entries),
    ));
    Ok((controls, discovery))
}

/// Requests to join the replicated log at all known control instances, periodically while this instance hears no leader.
///
/// Besides a new instance, that is one whose vote was given to another while it was cut off or down. The leader ignores the
/// request of a member.
pub(super) async fn send_join_requests(
    voter: VoterId,
    controls: Arc<KnownControls>,
    state: Arc<DriverState>,
) {
    loop {
        if !state.has_leader() {
            let others = controls.list().into_iter();
            let others = others.filter(|instance| *instance != voter.instance);
            let requests = others.map(|instance| join_at(instance, &voter, &controls));
            futures::future::join_all(requests).await;
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}

async fn join_at(instance: InstanceId, voter: &VoterId, controls: &KnownControls) {
    match tokio::time::timeout(JOIN_TIMEOUT, request_join(&instance, voter)).await {
        Ok(Ok(leader)) => controls.record(leader),
        Ok(Err(error)) => log::debug!("join request to {instance} failed: {error}"),
        Err(_) => log::debug!("join request to {instance} timed out"),
    }
}

async fn request_join(instance: &InstanceId, voter: &VoterId) -> eyre::Result<Option<InstanceId>> {
    let stream = transport::connect(instance.as_str().parse()?).await?;
    let client = ControlRpcClient::new(client::Config::default(), transport::framed(stream)).spawn();
    Ok(client.join(context::current(), voter.clone()).await?)
}
