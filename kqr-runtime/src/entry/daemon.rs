use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use arc_swap::ArcSwap;
use eyre::WrapErr;
use kqr_dispatch::{Input, LinkRate, Options};
use kqr_fleet::EntryInfo;
use kqr_telemetry::Metrics;
use kqr_types::Incarnation;
use tokio::net::TcpListener;

use super::{
    ControlAccess, EntryDriver, EntrySettings, TargetClient, control_link::ControlLink, sibling_service,
};
use crate::discovery::{self, DiscoveryService, FoundingMember, KnownControls};

/// Interval between ticks of the dispatcher: a fraction of the shortest of its timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(15);
/// Fraction of the maximum lease that is requested. A lease must outlast a lost poll, but end soon after its
/// owner is lost.
const LEASE_FRACTION: f64 = 0.7;

/// Interval between requests for the control instances while the leader is not known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);

/// A running entry.
#[derive(Debug)]
pub struct Entry<Client>
where
    Client: TargetClient,
{
    driver: Arc<EntryDriver<Client>>,
    controls: Arc<KnownControls>,
    /// Discovery addresses of the seeds.
    seeds: Arc<ArcSwap<Vec<SocketAddr>>>,
}

impl<Client> Entry<Client>
where
    Client: TargetClient,
{
    /// Opens the listener for siblings and starts the exchanges with control. Without a rate, the link of the machine counts as
    /// unlimited.
    ///
    /// # Errors
    ///
    /// Fails if the settings are inconsistent, or the listener can't be opened.
    pub async fn start(
        settings: &EntrySettings,
        client: Client,
        link_rate: Option<LinkRate>,
        remote_slowdown: Option<f64>,
    ) -> eyre::Result<Self> {
        settings.check()?;
        let siblings = settings.sibling_address();
        let listen_address = settings.listen_address(siblings);
        let listener = TcpListener::bind(listen_address).await;
        let listener = listener.wrap_err_with(|| format!("opening the listener {listen_address}"))?;
        let own = EntryInfo {
            id: settings.name.clone(),
            incarnation: new_incarnation(),
            data_centre: settings.data_centre.clone(),
            siblings,
            reports: settings.report_address(),
            weight: settings.weight(),
            is_leaving: false,
        };
        let options = Options {
            lease: Duration::from_millis(settings.max_lease_ms).mul_f64(LEASE_FRACTION),
            remote_slowdown: Options::remote_slowdown_or_default(remote_slowdown),
            link_rate,
            ..Options::default()
        };
        let fields = [("incarnation", own.incarnation.to_string())];
        kqr_telemetry::log_decision("entry-started", &fields);
        let driver = Arc::new(EntryDriver::new(own, options, client, Metrics::new()?));
        let seeds = Arc::new(ArcSwap::from_pointee(settings.seed_addresses()));
        let controls = Arc::new(KnownControls::default());
        start_discovery(settings, &seeds, &controls).await?;
        tokio::spawn(sibling_service::serve(listener, Arc::clone(&driver)));
        tokio::spawn(run_ticks(Arc::clone(&driver)));
        tokio::spawn(ControlLink::new(Arc::clone(&driver), Arc::clone(&controls)).run());
        Ok(Self {
            driver,
            controls,
            seeds,
        })
    }

    /// Returns the driver, through which callers and targets are served.
    pub fn driver(&self) -> Arc<EntryDriver<Client>> {
        Arc::clone(&self.driver)
    }

    /// Returns the access to control, through which operators and targets are served.
    pub fn control_access(&self) -> ControlAccess<Client> {
        ControlAccess::new(Arc::clone(&self.driver), Arc::clone(&self.controls))
    }

    /// Applies changed settings. Only the seeds can change in a running process.
    ///
    /// # Errors
    ///
    /// Fails if the settings are inconsistent; the previous ones then stay in force.
    pub fn reload(&self, settings: &EntrySettings) -> eyre::Result<()> {
        settings.check()?;
        self.seeds.store(Arc::new(settings.seed_addresses()));
        Ok(())
    }

    /// Begins to shut down: open jobs continue for `time_left`, and targets are released to control.
    pub fn leave(&self, time_left: Duration) {
        let fields = [("time_left_ms", time_left.as_millis().to_string())];
        kqr_telemetry::log_decision("entry-leaving", &fields);
        self.driver.leave(time_left);
    }

    /// Returns whether there is no job and no run left, and all targets are released.
    pub fn is_idle(&self) -> bool {
        let dispatcher = self.driver.dispatcher();
        dispatcher.is_idle() && dispatcher.owned_target_count() == 0
    }
}

/// Serves discovery, takes part in the founding if this entry is a seed, and looks for control when it is lost.
async fn start_discovery(
    settings: &EntrySettings,
    seeds: &Arc<ArcSwap<Vec<SocketAddr>>>,
    controls: &Arc<KnownControls>,
) -> eyre::Result<()> {
    let own = settings.discovery_address();
    let address = settings.listen_address(own);
    let listener = TcpListener::bind(address).await;
    let listener = listener.wrap_err_with(|| format!("opening the listener {address}"))?;
    let founding = if settings.is_founding {
        FoundingMember::start(own, &seeds.load())?
    } else {
        None
    };
    let service = DiscoveryService::new(Arc::clone(controls), founding);
    tokio::spawn(discovery::serve(listener, service));
    tokio::spawn(look_for_control(Arc::clone(seeds), Arc::clone(controls)));
    Ok(())
}

/// Asks the seeds for the control instances while the leader is not known.
async fn look_for_control(seeds: Arc<ArcSwap<Vec<SocketAddr>>>, controls: Arc<KnownControls>) {
    loop {
        if controls.leader().is_none() {
            discovery::announce(&seeds.load_full(), None, &controls).await;
        }
        tokio::time::sleep(SEARCH_INTERVAL).await;
    }
}

async fn run_ticks<Client>(driver: Arc<EntryDriver<Client>>)
where
    Client: TargetClient,
{
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        driver.handle_input(Input::Tick);
    }
}

/// Returns the wall-clock time in milliseconds as an incarnation, which increases with each start of the
/// process.
///
/// The clock may be wrong, but it is rarely set back by more than the time that a process takes to start.
fn new_incarnation() -> Incarnation {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Incarnation(unix.unwrap_or_default().as_millis() as u64)
}
