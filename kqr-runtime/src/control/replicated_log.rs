use std::{
    sync::{Arc, mpsc},
    time::Duration,
};

use kqr_agreement::{Machine, Options as AgreementOptions};
use kqr_fleet::{FleetNode, FleetOptions};
use kqr_telemetry::Metrics;
use kqr_types::InstanceId;
use tokio::runtime::Handle;

use super::{
    ControlSettings, agreement_links::AgreementLinks, daemon, data_folder::DataFolder, driver::Driver,
    driver_state::DriverState, request::Request,
};
use crate::{
    BootClock,
    discovery::{DiscoveryService, KnownControls},
};

/// Interval between heartbeats of the leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time without a leader before a voter campaigns. It covers several lost heartbeats and a slow sync.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(450);
/// Divisor of the election timeout that gives the range of the random delay of a campaign. Half of the
/// timeout is many times the duration of a vote with its sync.
const ELECTION_SPREAD_DIVISOR: u32 = 2;
/// Delay before the data folder is reopened after a failed write.
const REOPEN_DELAY: Duration = Duration::from_millis(700);

/// What the thread of the replicated log needs to open the data folder and to run a [`Driver`] on it.
#[derive(Debug)]
pub(super) struct ReplicatedLog {
    pub(super) settings: ControlSettings,
    pub(super) runtime: Handle,
    pub(super) controls: Arc<KnownControls>,
    pub(super) discovery: DiscoveryService,
    pub(super) metrics: Arc<Metrics>,
    pub(super) state: Arc<DriverState>,
}

impl ReplicatedLog {
    /// Runs the replicated log until it is stopped.
    ///
    /// After a failed write the data folder is reopened, because only the disk shows which records are durable.
    /// As long as the disk is full or rejects writes, the instance takes no part in the quorum.
    ///
    /// # Errors
    ///
    /// Fails if the data folder can't be opened or closed.
    pub(super) fn run(&self, rx: &mpsc::Receiver<Request>, needs_founders: bool) -> eyre::Result<()> {
        let mut founders = Vec::new();
        if needs_founders {
            match wait_for_founders(rx) {
                Some(agreed) => founders = agreed,
                None => return Ok(()),
            }
        }
        let mut initial_folder = Some(self.open_folder(&founders)?);
        loop {
            let folder = match initial_folder.take() {
                Some(folder) => folder,
                None => DataFolder::open(&self.settings, &founders)?,
            };
            match self.create_driver(folder)?.run(rx) {
                Ok(()) => return Ok(()),
                Err(error) => {
                    let fields = [("cause", format!("{error:#}"))];
                    self.state.mark_closed();
                    self.state.set_has_leader(false);
                    kqr_telemetry::log_decision("log-reopened", &fields);
                    std::thread::sleep(REOPEN_DELAY);
                }
            }
        }
    }

    /// Opens the data folder for the first time since the start.
    fn open_folder(&self, founders: &[InstanceId]) -> eyre::Result<DataFolder> {
        let folder = DataFolder::open(&self.settings, founders)?;
        kqr_telemetry::log_decision(
            "control-started",
            &[
                ("voter", folder.voter.to_string()),
                ("founders", folder.founding.voters.len().to_string()),
                ("is_new", folder.opened.is_new.to_string()),
            ],
        );
        if folder.founding.is_voter(&folder.voter) {
            let voters = folder.founding.voters.iter();
            let founders = voters.map(|voter| voter.instance.clone());
            self.discovery.set_founders(founders.collect());
        }
        let (controls, state) = (Arc::clone(&self.controls), Arc::clone(&self.state));
        self.runtime
            .spawn(daemon::send_join_requests(folder.voter.clone(), controls, state));
        Ok(folder)
    }

    fn create_driver(&self, folder: DataFolder) -> eyre::Result<Driver> {
        let own = self.settings.instance_id()?;
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
            voter_count: self.settings.voter_count(),
            ..FleetOptions::default()
        };
        let machine = Machine::new(voter.clone(), agreement, folder.opened.durable);
        let links = AgreementLinks::new(self.runtime.clone(), voter);
        let node = FleetNode::new(options, machine);
        Ok(Driver::new(
            own,
            node,
            folder.store,
            links,
            Arc::clone(&self.metrics),
            Arc::clone(&self.state),
        ))
    }
}

/// Waits until the founders are agreed. Returns `None` if the process stops before.
fn wait_for_founders(rx: &mpsc::Receiver<Request>) -> Option<Vec<InstanceId>> {
    for request in rx {
        match request {
            Request::Founded(founders) => return Some(founders),
            Request::Stop => return None,
            // Calls are answered without the driver until the folder is open.
            _ => {}
        }
    }
    None
}

/// Returns the FNV-1a hash of an identity. It makes the election timeouts of instances differ that start at
/// the same time.
fn hash_of(own: &InstanceId) -> u64 {
    let bytes = own.as_str().bytes();
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
