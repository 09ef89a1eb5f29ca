use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use eyre::{OptionExt, WrapErr};
use kqr_http::ServerOptions;
use kqr_jobs::{NotAccepted, Outcome, RefusalReason, Submission};
use kqr_placement::Announcement;
use kqr_settings::bootstrap::{Bootstrap, Instance};
use kqr_telemetry::{EventKind, EventLog};
use kqr_types::{JobKey, TargetId};
use kqr_wire::siblings::SiblingClient;
use tarpc::{client::RpcError, context};
use tokio::{net::TcpListener, signal::unix::SignalKind};
use tokio_util::sync::CancellationToken;

use crate::{
    callers::{self, Relay},
    clock::Clock,
    engine::{Answer, Engine},
    homes::Homes,
    options::Options,
    sibling_links::SiblingLinks,
    sibling_server, targets,
};

/// Time between two ticks of the machines.
const TICK: Duration = Duration::from_millis(50);
/// Longest time that accepted work may take after the shutdown began.
const GRACE: Duration = Duration::from_secs(30);
/// Time that a sibling has on top of the caller's deadline.
const FORWARD_MARGIN: Duration = Duration::from_secs(5);
/// Longest time for spreading an announcement.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(1);

/// The parts of a running entry.
#[derive(Debug)]
pub struct Entry {
    /// This instance.
    pub own: Instance,
    /// Jobs, queue and targets.
    pub engine: Arc<Engine>,
    /// The rule that names the home of each key.
    pub homes: Homes,
    /// Connections to siblings.
    pub links: SiblingLinks,
    /// The client that relays requests.
    pub relay: Relay,
    /// Cancelled when the shutdown begins.
    pub shutdown: CancellationToken,
}

impl Entry {
    /// Submits a job at the home of its key.
    pub async fn submit(&self, submission: Submission, is_waiting: bool) -> Answer {
        let Some(home) = self.homes.remote_home(&submission.key) else {
            return self.engine.submit(submission, is_waiting).await;
        };
        let cx = forward_context(submission.deadline);
        let client = self.client(home).await?;
        self.forwarded(
            home,
            &submission.key.clone(),
            client.submit(cx, submission, is_waiting).await,
        )
        .await
    }

    /// Returns the answer or the present state of a job from the home of its key.
    pub async fn lookup(&self, key: JobKey) -> Answer {
        let Some(home) = self.homes.remote_home(&key) else {
            return self.engine.lookup(key).await;
        };
        let client = self.client(home).await?;
        self.forwarded(
            home,
            &key.clone(),
            client.lookup(forward_context(Duration::ZERO), key).await,
        )
        .await
    }

    /// Cancels a job at the home of its key.
    pub async fn cancel(&self, key: JobKey) -> Answer {
        let Some(home) = self.homes.remote_home(&key) else {
            return self.engine.cancel(key).await;
        };
        let client = self.client(home).await?;
        self.forwarded(
            home,
            &key.clone(),
            client.cancel(forward_context(Duration::ZERO), key).await,
        )
        .await
    }

    /// Tells the siblings of a target that was announced here.
    pub fn spread_announcement(self: &Arc<Self>, announcement: &Announcement) {
        for sibling in self.homes.siblings() {
            let (entry, sibling, announcement) = (Arc::clone(self), sibling.clone(), announcement.clone());
            tokio::spawn(async move {
                let Ok(client) = entry.links.get(&sibling.id, sibling.peers).await else {
                    return;
                };
                if client.announced(spread_context(), announcement).await.is_err() {
                    entry.links.forget(&sibling.id).await;
                }
            });
        }
    }

    /// Tells the siblings of a target that leaves.
    pub fn spread_leave(self: &Arc<Self>, id: &TargetId) {
        for sibling in self.homes.siblings() {
            let (entry, sibling, id) = (Arc::clone(self), sibling.clone(), id.clone());
            tokio::spawn(async move {
                let Ok(client) = entry.links.get(&sibling.id, sibling.peers).await else {
                    return;
                };
                if client.left(spread_context(), id).await.is_err() {
                    entry.links.forget(&sibling.id).await;
                }
            });
        }
    }

    async fn client(&self, home: &Instance) -> Result<SiblingClient, NotAccepted> {
        let connected = self.links.get(&home.id, home.peers).await;
        connected.map_err(|error| unreachable_home(home, &error.to_string()))
    }

    /// Turns the result of a forwarded call into an answer.
    async fn forwarded(&self, home: &Instance, key: &JobKey, result: Result<Answer, RpcError>) -> Answer {
        let mut event = self.engine.events.event(EventKind::Forwarded);
        event.key = Some(key.clone());
        event.peer = Some(home.id.clone());
        self.engine.events.record(event);
        match result {
            Ok(answer) => answer,
            Err(error) => {
                self.links.forget(&home.id).await;
                Err(unreachable_home(home, &error.to_string()))
            }
        }
    }
}

/// Refuses a key whose home can't be reached: an earlier try may have reached it.
fn unreachable_home(home: &Instance, cause: &str) -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::HomeUnreachable,
        outcome: Outcome::MayHaveRun,
        retry_after: Some(Duration::from_secs(1)),
        detail: format!("the home {} of the key can't be reached: {cause}", home.id),
    }
}

fn forward_context(deadline: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + deadline + FORWARD_MARGIN;
    cx
}

fn spread_context() -> context::Context {
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + SPREAD_TIMEOUT;
    cx
}

/// Runs the daemon until SIGTERM, then ends what was accepted.
///
/// # Errors
///
/// Fails if the configuration is unusable or a listener can't be opened.
pub async fn run(options: Options) -> eyre::Result<()> {
    kqr_telemetry::init_logging(&options.instance, options.log_level)?;
    let bootstrap = Bootstrap::read(&options.config)?;
    let own = bootstrap.instance(&options.instance)?.clone();
    let events = match &options.events {
        Some(path) => EventLog::open(own.id.clone(), path)?,
        None => EventLog::disabled(own.id.clone()),
    };
    events.record(events.event(EventKind::ProcessStarted));
    let callers_address = own.callers.ok_or_eyre("the instance has no callers' listener")?;
    let targets_address = own.targets.ok_or_eyre("the instance has no targets' listener")?;
    let entry = Arc::new(Entry {
        homes: Homes::new(&bootstrap, &own),
        own,
        engine: Arc::new(Engine::new(Clock::new(), events)),
        links: SiblingLinks::default(),
        relay: Relay::new(),
        shutdown: CancellationToken::new(),
    });
    let stop_serving = CancellationToken::new();
    let siblings = sibling_server::listen(Arc::clone(&entry), stop_serving.clone()).await;
    let siblings = siblings.wrap_err_with(|| format!("listening on {} for siblings", entry.own.peers))?;
    let siblings = tokio::spawn(siblings);
    let callers = spawn_server(&entry, callers_address, &entry.shutdown, callers::handle).await?;
    let targets = spawn_server(&entry, targets_address, &stop_serving, targets::handle).await?;
    let ticker = tokio::spawn(tick(Arc::clone(&entry), stop_serving.clone()));
    log::info!("serving callers on {callers_address} and targets on {targets_address}");
    wait_for_signal().await?;
    log::info!("shutting down: finishing accepted work");
    entry.shutdown.cancel();
    let finish = async {
        let _ = callers.await;
        while entry.engine.live_jobs() > 0 {
            tokio::time::sleep(TICK).await;
        }
        entry.engine.tracker.close();
        entry.engine.tracker.wait().await;
    };
    tokio::select! {
        finished = tokio::time::timeout(GRACE, finish) => {
            if finished.is_err() {
                log::error!("accepted work did not end within {GRACE:?}");
            }
        }
        _ = wait_for_signal() => log::error!("a second signal ends accepted work"),
    }
    stop_serving.cancel();
    let _ = tokio::join!(siblings, targets, ticker);
    entry
        .engine
        .events
        .record(entry.engine.events.event(EventKind::ProcessStopped));
    entry.engine.events.flush();
    Ok(())
}

async fn spawn_server<H, F, B>(
    entry: &Arc<Entry>,
    address: SocketAddr,
    shutdown: &CancellationToken,
    handler: H,
) -> eyre::Result<tokio::task::JoinHandle<bool>>
where
    H: Fn(Arc<Entry>, hyper::Request<hyper::body::Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = hyper::Response<B>> + Send + 'static,
    B: hyper::body::Body<Data = bytes::Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listening on {address}"))?;
    let entry = Arc::clone(entry);
    let options = ServerOptions {
        grace: GRACE,
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

async fn tick(entry: Arc<Entry>, shutdown: CancellationToken) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        tokio::select! {
            _ = interval.tick() => entry.engine.tick(),
            () = shutdown.cancelled() => return,
        }
    }
}

async fn wait_for_signal() -> eyre::Result<()> {
    let mut terminate =
        tokio::signal::unix::signal(SignalKind::terminate()).wrap_err("waiting for SIGTERM")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}
