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
    request::Request, service,
};
use crate::{BootClock, calls::ControlCallsClient, frames};

/// Time between heartbeats of the leader.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// Shortest time without a leader after which a voter campaigns: several lost heartbeats and a slow sync.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(450);
/// Campaigns are spread over half of that: many times as long as a vote with its sync takes.
const SPREAD_DIVISOR: u32 = 2;
/// Time between two requests to be taken into the log.
const JOIN_PERIOD: Duration = Duration::from_millis(700);
/// Longest time for such a request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the state is read again after a failed write.
const REOPEN_PAUSE: Duration = Duration::from_millis(700);
/// Time for the hand-over of the lead before the process ends.
const HAND_OVER_TIME: Duration = Duration::from_millis(300);

/// A running control instance.
#[derive(Debug)]
pub struct Control {
    handle: ControlHandle,
    driver: JoinHandle<()>,
    ended: oneshot::Receiver<eyre::Result<()>>,
    metrics: Arc<Metrics>,
    seeds: Arc<ArcSwap<Vec<InstanceId>>>,
}

impl Control {
    /// Opens the data folder and joins the other control instances.
    ///
    /// # Errors
    ///
    /// Fails if the settings contradict each other, or the folder or the listener can't be used.
    pub async fn start(settings: &ControlSettings) -> eyre::Result<Self> {
        settings.check()?;
        let address = settings.fleet();
        let listener = TcpListener::bind(address).await;
        let listener = listener.wrap_err_with(|| format!("opening the listener {address}"))?;
        let folder = DataFolder::open(settings)?;
        let own = settings.identity()?;
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
        let (ended_tx, ended) = oneshot::channel();
        let log_settings = settings.clone();
        let metrics = Arc::new(Metrics::new()?);
        let log_metrics = Arc::clone(&metrics);
        let driver = std::thread::Builder::new()
            .name("replicated-log".to_owned())
            .spawn(move || {
                drop(ended_tx.send(run_log(&log_settings, folder, &runtime, &log_metrics, &rx)));
            })?;
        let handle = ControlHandle::new(own, tx);
        tokio::spawn(service::serve(listener, handle.clone()));
        let seeds = Arc::new(ArcSwap::from_pointee(settings.seed_identities()?));
        if !is_founder {
            tokio::spawn(keep_joining(voter, Arc::clone(&seeds)));
        }
        Ok(Self {
            handle,
            driver,
            ended,
            metrics,
            seeds,
        })
    }

    /// Takes changed settings as far as a running process can: the seeds.
    ///
    /// # Errors
    ///
    /// Fails if the settings contradict each other; the former ones stay in force.
    pub fn reload(&self, settings: &ControlSettings) -> eyre::Result<()> {
        settings.check()?;
        self.seeds.store(Arc::new(settings.seed_identities()?));
        Ok(())
    }

    /// Returns access to the instance.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> Arc<Metrics> {
        Arc::clone(&self.metrics)
    }

    /// Waits until the instance can't continue.
    ///
    /// # Errors
    ///
    /// Returns why it can't.
    pub async fn failed(&mut self) -> eyre::Result<()> {
        match (&mut self.ended).await {
            Ok(result) => result,
            Err(_) => Err(eyre!("the thread of the replicated log ended")),
        }
    }

    /// Gives up the lead and closes the data folder.
    ///
    /// # Errors
    ///
    /// Fails if the data folder can't be closed.
    pub async fn close(self) -> eyre::Result<()> {
        self.handle.tell(Request::HandOver);
        tokio::time::sleep(HAND_OVER_TIME).await;
        self.handle.tell(Request::Stop);
        let result = self.ended.await.unwrap_or(Ok(()));
        drop(self.driver);
        result
    }
}

/// Drives the replicated log. After a failed write the state is read again from the disk, which tells what of it is
/// durable; a disk that stays full or refuses writes leaves the instance out of the quorum meanwhile.
fn run_log(
    settings: &ControlSettings,
    folder: DataFolder,
    runtime: &Handle,
    metrics: &Arc<Metrics>,
    rx: &mpsc::Receiver<Request>,
) -> eyre::Result<()> {
    let mut next = Some(folder);
    loop {
        let folder = match next.take() {
            Some(folder) => folder,
            None => DataFolder::open(settings)?,
        };
        match driver_of(settings, folder, runtime, metrics)?.run(rx) {
            Ok(()) => return Ok(()),
            Err(error) => {
                let fields = [("cause", format!("{error:#}"))];
                kqr_telemetry::log_decision("log-reopened", &fields);
                std::thread::sleep(REOPEN_PAUSE);
            }
        }
    }
}

fn driver_of(
    settings: &ControlSettings,
    folder: DataFolder,
    runtime: &Handle,
    metrics: &Arc<Metrics>,
) -> eyre::Result<Driver> {
    let own = settings.identity()?;
    let voter = folder.voter;
    let agreement = AgreementOptions {
        founding: folder.founding,
        election_timeout: ELECTION_TIMEOUT,
        spread_divisor: SPREAD_DIVISOR,
        heartbeat: HEARTBEAT,
        seed: BootClock.now().0 ^ seed_of(&own),
        ..AgreementOptions::default()
    };
    let options = FleetOptions {
        voters: settings.voters(),
        ..FleetOptions::default()
    };
    let machine = Machine::new(voter.clone(), agreement, folder.opened.durable);
    let links = AgreementLinks::new(runtime.clone(), voter);
    let node = FleetNode::new(options, machine);
    Ok(Driver::new(own, node, folder.store, links, Arc::clone(metrics)))
}

/// Asks to be taken into the log again and again. The leader ignores a request of a voter; it hears by it that a
/// learner is still there. Seeds may change meanwhile.
async fn keep_joining(voter: VoterId, seeds: Arc<ArcSwap<Vec<InstanceId>>>) {
    let mut leaders: Vec<InstanceId> = Vec::new();
    loop {
        let mut known = Vec::clone(&seeds.load());
        known.extend(
            leaders
                .iter()
                .filter(|leader| !seeds.load().contains(leader))
                .cloned(),
        );
        for instance in known {
            let asked = tokio::time::timeout(JOIN_TIMEOUT, ask_to_join(&instance, &voter)).await;
            match asked {
                Ok(Ok(Some(leader))) if !leaders.contains(&leader) => leaders.push(leader),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => log::debug!("asking {instance} to be taken in: {error}"),
                Err(_) => log::debug!("asking {instance} to be taken in: no answer"),
            }
        }
        tokio::time::sleep(JOIN_PERIOD).await;
    }
}

async fn ask_to_join(instance: &InstanceId, voter: &VoterId) -> eyre::Result<Option<InstanceId>> {
    let stream = frames::connect(instance.as_str().parse()?).await?;
    let client = ControlCallsClient::new(client::Config::default(), frames::messages_of(stream)).spawn();
    Ok(client.join(context::current(), voter.clone()).await?)
}

/// Spreads the election timeouts of instances that start at the same time.
fn seed_of(own: &InstanceId) -> u64 {
    let bytes = own.as_str().bytes();
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
