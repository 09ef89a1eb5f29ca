use std::{
    sync::{Arc, mpsc},
    thread::JoinHandle,
    time::Duration,
};

use arc_swap::ArcSwap;
use eyre::{WrapErr, eyre};
use kqr_agreement::{Machine, Options as AgreementOptions, VoterId};
use kqr_fleet::{FleetNode, FleetOptions};
use kqr_telemetry::Metrics;
use kqr_types::InstanceId;
use tarpc::{client, context};
use tokio::{net::TcpListener, runtime::Handle, sync::oneshot};

use super::{
    ControlHandle, ControlSettings, agreement_links::AgreementLinks, data_folder::DataFolder, driver::Driver,
    driver_state::DriverState, request::Request, service,
};
use crate::{BootClock, rpc::ControlRpcClient, transport};

/// Interval between heartbeats of the leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time without a leader before a voter campaigns. It covers several lost heartbeats and a slow sync.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(450);
/// Divisor of the election timeout that gives the range of the random delay of a campaign. Half of the
/// timeout is many times the duration of a vote with its sync.
const ELECTION_SPREAD_DIVISOR: u32 = 2;
/// Interval between requests to join the replicated log.
const JOIN_INTERVAL: Duration = Duration::from_millis(700);
/// Timeout of a request to join the replicated log.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the data folder is reopened after a failed write.
const REOPEN_DELAY: Duration = Duration::from_millis(700);
/// Time for the transfer of leadership before the process ends.
const HAND_OVER_TIME: Duration = Duration::from_millis(300);

/// A running control instance.
#[derive(Debug)]
pub struct Control {
    handle: ControlHandle,
    driver: JoinHandle<()>,
    driver_result: oneshot::Receiver<eyre::Result<()>>,
    metrics: Arc<Metrics>,
    seeds: Arc<ArcSwap<Vec<InstanceId>>>,
}

impl Control {
    /// Opens the listener and the data folder, and starts the instance as a member of the replicated log.
    ///
    /// # Errors
    ///
    /// Fails if the settings are inconsistent, or the data folder or the listener can't be opened.
    pub async fn start(settings: &ControlSettings) -> eyre::Result<Self> {
        settings.check()?;
        let address = settings.fleet_listen_address();
        let listener = TcpListener::bind(address).await;
        let listener = listener.wrap_err_with(|| format!("opening the listener {address}"))?;
        let folder = DataFolder::open(settings)?;
        let own = settings.instance_id()?;
        let voter = folder.voter.clone();
        kqr_telemetry::log_decision(
            "control-started",
            &[
                ("voter", voter.to_string()),
                ("founders", folder.founding.voters.len().to_string()),
                ("is_new", folder.opened.is_new.to_string()),
            ],
        );
        let is_founder = folder.founding.is_voter(&voter);
        let runtime = Handle::current();
        let (tx, rx) = mpsc::channel();
        let (result_tx, driver_result) = oneshot::channel();
        let driver_settings = settings.clone();
        let metrics = Arc::new(Metrics::new()?);
        let driver_metrics = Arc::clone(&metrics);
        let state = Arc::new(DriverState::default());
        let driver_state = Arc::clone(&state);
        let driver = std::thread::Builder::new()
            .name("replicated-log".to_owned())
            .spawn(move || {
                drop(result_tx.send(run_replicated_log(
                    &driver_settings,
                    folder,
                    &runtime,
                    &driver_metrics,
                    &driver_state,
                    &rx,
                )));
            })?;
        let handle = ControlHandle::new(own, tx, state);
        tokio::spawn(service::serve(listener, handle.clone()));
        let seeds = Arc::new(ArcSwap::from_pointee(settings.seed_ids()?));
        if !is_founder {
            tokio::spawn(send_join_requests(voter, Arc::clone(&seeds)));
        }
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
        self.seeds.store(Arc::new(settings.seed_ids()?));
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

/// Runs the replicated log until it is stopped.
///
/// After a failed write the data folder is reopened, because only the disk shows which records are durable.
/// As long as the disk is full or rejects writes, the instance takes no part in the quorum.
fn run_replicated_log(
    settings: &ControlSettings,
    folder: DataFolder,
    runtime: &Handle,
    metrics: &Arc<Metrics>,
    state: &Arc<DriverState>,
    rx: &mpsc::Receiver<Request>,
) -> eyre::Result<()> {
    let mut initial_folder = Some(folder);
    loop {
        let folder = match initial_folder.take() {
            Some(folder) => folder,
            None => DataFolder::open(settings)?,
        };
        match create_driver(settings, folder, runtime, metrics, state)?.run(rx) {
            Ok(()) => return Ok(()),
            Err(error) => {
                let fields = [("cause", format!("{error:#}"))];
                state.mark_closed();
                kqr_telemetry::log_decision("log-reopened", &fields);
                std::thread::sleep(REOPEN_DELAY);
            }
        }
    }
}

fn create_driver(
    settings: &ControlSettings,
    folder: DataFolder,
    runtime: &Handle,
    metrics: &Arc<Metrics>,
    state: &Arc<DriverState>,
) -> eyre::Result<Driver> {
    let own = settings.instance_id()?;
    let voter = folder.voter;
    let agreement = AgreementOptions {
        founding: folder.founding,
        election_timeout: ELECTION_TIMEOUT,
        spread_divisor: ELECTION_SPREAD_DIVISOR,
        heartbeat: HEARTBEAT_INTERVAL,
        seed: BootClock.now().0 ^ hash_of(&own),
        ..AgreementOptions::default()
    };
    let options = FleetOptions {
        voter_count: settings.voter_count(),
        ..FleetOptions::default()
    };
    let machine = Machine::new(voter.clone(), agreement, folder.opened.durable);
    let links = AgreementLinks::new(runtime.clone(), voter);
    let node = FleetNode::new(options, machine);
    Ok(Driver::new(
        own,
        node,
        folder.store,
        links,
        Arc::clone(metrics),
        Arc::clone(state),
    ))
}

/// Requests to join the replicated log, periodically.
///
/// The leader ignores the request of a voter. For a learner the request shows that it is still alive. The
/// seeds may change between requests.
async fn send_join_requests(voter: VoterId, seeds: Arc<ArcSwap<Vec<InstanceId>>>) {
    let mut leaders: Vec<InstanceId> = Vec::new();
    loop {
        let mut instances = Vec::clone(&seeds.load());
        instances.extend(
            leaders
                .iter()
                .filter(|leader| !seeds.load().contains(leader))
                .cloned(),
        );
        for instance in instances {
            let answer = tokio::time::timeout(JOIN_TIMEOUT, request_join(&instance, &voter)).await;
            match answer {
                Ok(Ok(Some(leader))) if !leaders.contains(&leader) => leaders.push(leader),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => log::debug!("join request to {instance} failed: {error}"),
                Err(_) => log::debug!("join request to {instance} timed out"),
            }
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}

async fn request_join(instance: &InstanceId, voter: &VoterId) -> eyre::Result<Option<InstanceId>> {
    let stream = transport::connect(instance.as_str().parse()?).await?;
    let client = ControlRpcClient::new(client::Config::default(), transport::framed(stream)).spawn();
    Ok(client.join(context::current(), voter.clone()).await?)
}

/// Returns the FNV-1a hash of an identity. It makes the election timeouts of instances differ that start at
/// the same time.
fn hash_of(own: &InstanceId) -> u64 {
    let bytes = own.as_str().bytes();
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
