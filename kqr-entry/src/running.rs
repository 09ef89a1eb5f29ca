use std::{
    future::Future,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use eyre::{OptionExt, WrapErr};
use kqr_directory::Directory;
use kqr_http::ServerOptions;
use kqr_jobs::Member;
use kqr_settings::{
    Follower, FollowerOptions, Tree, Version,
    bootstrap::{Bootstrap, Instance},
};
use kqr_telemetry::{EventKind, EventLog, Metrics};
use kqr_tls::TransportSecurity;
use kqr_types::{Incarnation, TeamName};
use kqr_wire::control::{SettingsStream, rank_control_peers};
use tokio::{net::TcpListener, task::JoinHandle, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::{
    callers::{self, Relay},
    cell_drivers::CellDrivers,
    clock::Clock,
    engine::Engine,
    entry::Entry,
    limits::Limits,
    live_settings::LiveSettings,
    outbox::Outbox,
    quota_shares::QuotaShares,
    registry::Registry,
    sibling_links::SiblingLinks,
    sibling_server,
    slot_shares::SlotShares,
    targets,
    topology::RegionTopology,
};

/// Interval between ticks while jobs are live or tasks wait.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between ticks of an idle entry. It is a fraction of the timeouts of the cell and of the shares,
/// which expire in an idle entry as well.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between updates of the order of targets, which follows their learned speeds.
const TABLE_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time to leave the cell. The last member of a cell has no other member to hand its keys over to.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running entry and the tasks that serve it.
#[derive(Debug)]
pub struct Running {
    entry: Arc<Entry>,
    limits: Limits,
    stop_accepting: CancellationToken,
    stop_serving: CancellationToken,
    callers: JoinHandle<bool>,
    servers: Vec<JoinHandle<()>>,
}

impl Running {
    /// Opens the listeners of `own` and starts to serve. Connections to other instances use `security`.
    ///
    /// # Errors
    ///
    /// Fails if an address is missing or a listener can't be opened.
    pub async fn start(
        bootstrap: &Bootstrap,
        own: Instance,
        events: EventLog,
        limits: Limits,
        security: TransportSecurity,
    ) -> eyre::Result<Self> {
        events.record(events.new_event(EventKind::ProcessStarted));
        let callers_address = own.callers.ok_or_eyre("the instance has no `callers` address")?;
        let targets_address = own.targets.ok_or_eyre("the instance has no `targets` address")?;
        let entry = Arc::new(build_entry(bootstrap, own, events, limits, &security)?);
        let stop_accepting = CancellationToken::new();
        let stop_serving = CancellationToken::new();
        let siblings =
            sibling_server::listen(Arc::clone(&entry), security.clone(), stop_serving.clone()).await;
        let siblings =
            siblings.wrap_err_with(|| format!("failed to listen on {} for siblings", entry.own.peers))?;
        let grace = limits.grace;
        let callers = spawn_server(&entry, callers_address, &stop_accepting, grace, callers::handle).await?;
        let targets = spawn_server(&entry, targets_address, &stop_serving, grace, targets::handle).await?;
        Outbox::start_senders(&entry, &entry.topology.other_entries(), &stop_serving);
        let mut servers = vec![tokio::spawn(siblings)];
        servers.push(tokio::spawn(async move {
            let _ = targets.await;
        }));
        if let Some(stream) = settings_stream(bootstrap, &entry.own, &security) {
            let (follower, shutdown) = (Arc::clone(&entry), stop_serving.clone());
            servers.push(tokio::spawn(async move {
                stream
                    .run(|version, tree| follower.apply_settings(version, tree), shutdown)
                    .await;
            }));
        }
        servers.push(tokio::spawn(security.watch(stop_serving.clone())));
        servers.push(tokio::spawn(run_ticks(Arc::clone(&entry), stop_serving.clone())));
        log::info!("serving callers on {callers_address} and targets on {targets_address}");
        Ok(Self {
            entry,
            limits,
            stop_accepting,
            stop_serving,
            callers,
            servers,
        })
    }

    /// Applies a version of the settings, as the settings stream does.
    pub fn apply_settings(&self, version: Version, tree: &Tree) {
        self.entry.apply_settings(version, tree);
    }

    /// Returns the part of a team's quota that is leased to this entry, in tasks per second.
    pub fn leased_quota(&self, team: &TeamName) -> u32 {
        self.entry.quotas.leased_units(team)
    }

    /// Finishes accepted work, then stops the servers. Returns whether all accepted work ended within the
    /// grace time.
    pub async fn close(self) -> bool {
        let engine = &self.entry.engine;
        self.entry.shutdown.cancel();
        tokio::time::sleep(self.limits.drain_delay).await;
        self.stop_accepting.cancel();
        let finish = async {
            let _ = self.callers.await;
            while engine.homed_jobs() > 0 {
                tokio::time::sleep(TICK_INTERVAL).await;
            }
            engine.tracker.close();
            engine.tracker.wait().await;
        };
        let is_finished = tokio::time::timeout(self.limits.grace, finish).await.is_ok();
        if !is_finished {
            log::error!("accepted work did not end within {:?}", self.limits.grace);
        }
        if tokio::time::timeout(LEAVE_TIMEOUT, self.entry.cells.leave())
            .await
            .is_err()
        {
            log::warn!(
                "the cell did not agree on an epoch without this entry in time; its lease will expire"
            );
        }
        self.stop_serving.cancel();
        for server in self.servers {
            let _ = server.await;
        }
        engine
            .events
            .record(engine.events.new_event(EventKind::ProcessStopped));
        engine.events.flush();
        is_finished
    }
}

/// Creates the components of an entry.
fn build_entry(
    bootstrap: &Bootstrap,
    own: Instance,
    events: EventLog,
    limits: Limits,
    security: &TransportSecurity,
) -> eyre::Result<Entry> {
    let clock = Clock::new();
    let events = Arc::new(events);
    let topology = RegionTopology::new(bootstrap, &own);
    let siblings = topology.siblings();
    let links = Arc::new(SiblingLinks::new(limits.link_silence_timeout(), security.clone()));
    let member = Member {
        id: own.id.clone(),
        incarnation: new_incarnation(),
    };
    let outbox = Arc::new(Outbox::new(member.clone(), &topology.other_entries()));
    let region = bootstrap.region_of(&own.data_centre).cloned();
    let settings = Arc::new(LiveSettings::new(region, own.data_centre.clone()));
    let engine = Arc::new(Engine::new(
        clock,
        events,
        Metrics::new()?,
        &member,
        limits,
        Arc::clone(&settings),
        Arc::clone(&outbox),
    ));
    let cells = CellDrivers::new(
        &member,
        &own.data_centre,
        limits.suspicion,
        &topology,
        &engine,
        &outbox,
    );
    let directory = Directory::new(own.id.clone(), clock.now());
    let shares = SlotShares::new(
        own.id.clone(),
        Arc::clone(&engine),
        Arc::clone(&settings),
        Arc::clone(&outbox),
    );
    let quotas = QuotaShares::new(
        own.id.clone(),
        Arc::clone(&engine),
        Arc::clone(&settings),
        Arc::clone(&outbox),
    );
    let registry = Registry::new(directory, Arc::clone(&engine), Arc::clone(&outbox));
    registry.handle(kqr_directory::Input::Peers(siblings));
    let has_control = !rank_control_peers(bootstrap, &own).is_empty();
    Ok(Entry {
        topology,
        own,
        engine,
        cells,
        shares,
        quotas,
        settings,
        registry,
        links,
        outbox,
        relay: Relay::new(),
        has_control,
        shutdown: CancellationToken::new(),
    })
}

/// Creates the settings stream, or returns `None` if there are no control instances.
fn settings_stream(
    bootstrap: &Bootstrap,
    own: &Instance,
    security: &TransportSecurity,
) -> Option<SettingsStream> {
    let peers = rank_control_peers(bootstrap, own);
    if peers.is_empty() {
        return None;
    }
    let ids = peers.iter().map(|peer| peer.id.clone()).collect();
    let follower = Follower::new(FollowerOptions::default(), ids, None);
    let stream = SettingsStream::new(own.id.clone(), peers, follower);
    Some(stream.with_security(security.clone()))
}

/// Returns the incarnation of this process, which increases with each restart unless the wall clock goes
/// back.
fn new_incarnation() -> Incarnation {
    let unix = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(unix.as_micros() as u64)
}

/// Binds `address` and spawns an HTTP server that runs until `shutdown`. Its task returns whether all
/// requests ended within `grace`.
async fn spawn_server<H, F, B>(
    entry: &Arc<Entry>,
    address: SocketAddr,
    shutdown: &CancellationToken,
    grace: Duration,
    handler: H,
) -> eyre::Result<JoinHandle<bool>>
where
    H: Fn(Arc<Entry>, hyper::Request<hyper::body::Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = hyper::Response<B>> + Send + 'static,
    B: hyper::body::Body<Data = bytes::Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("failed to listen on {address}"))?;
    let entry = Arc::clone(entry);
    let options = ServerOptions {
        grace,
        ..ServerOptions::default()
    };
    let handler = move |req, peer| handler(Arc::clone(&entry), req, peer);
    Ok(tokio::spawn(kqr_http::serve(
        listener,
        options,
        shutdown.clone(),
        handler,
    )))
}

/// Ticks the entry until `shutdown`.
async fn run_ticks(entry: Arc<Entry>, shutdown: CancellationToken) {
    let mut next = Instant::now();
    let mut refresh = tokio::time::interval(TABLE_REFRESH_INTERVAL);
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(next) => {
                let interval = if entry.tick() { TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
                next = Instant::now() + interval;
            }
            _ = refresh.tick() => entry.engine.table.refresh(),
            () = shutdown.cancelled() => return,
        }
    }
}
