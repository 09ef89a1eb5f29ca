use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use eyre::{OptionExt, WrapErr};
use kqr_http::ServerOptions;
use kqr_settings::bootstrap::{Bootstrap, Instance};
use kqr_telemetry::{EventKind, EventLog};
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use crate::{
    callers::{self, Relay},
    clock::Clock,
    engine::Engine,
    entry::Entry,
    homes::Homes,
    sibling_links::SiblingLinks,
    sibling_server, targets,
};

/// Time between two ticks of the machines.
const TICK: Duration = Duration::from_millis(50);

/// Time limits of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownLimits {
    /// Time in which callers are still accepted while the readiness is off, so that the balancer sees it.
    pub drain_delay: Duration,
    /// Longest time that accepted work may take after that.
    pub grace: Duration,
}

/// A running entry.
#[derive(Debug)]
pub struct Running {
    entry: Arc<Entry>,
    limits: ShutdownLimits,
    stop_accepting: CancellationToken,
    stop_serving: CancellationToken,
    callers: JoinHandle<bool>,
    servers: Vec<JoinHandle<()>>,
}

impl Running {
    /// Opens the listeners of `own` and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails if an address is missing or a listener can't be opened.
    pub async fn start(
        bootstrap: &Bootstrap,
        own: Instance,
        events: EventLog,
        limits: ShutdownLimits,
    ) -> eyre::Result<Self> {
        events.record(events.event(EventKind::ProcessStarted));
        let callers_address = own.callers.ok_or_eyre("the instance has no callers' listener")?;
        let targets_address = own.targets.ok_or_eyre("the instance has no targets' listener")?;
        let entry = Arc::new(Entry {
            homes: Homes::new(bootstrap, &own),
            engine: Arc::new(Engine::new(Clock::new(), events, own.id.clone())),
            own,
            links: SiblingLinks::default(),
            relay: Relay::new(),
            shutdown: CancellationToken::new(),
        });
        let stop_accepting = CancellationToken::new();
        let stop_serving = CancellationToken::new();
        let siblings = sibling_server::listen(Arc::clone(&entry), stop_serving.clone()).await;
        let siblings = siblings.wrap_err_with(|| format!("listening on {} for siblings", entry.own.peers))?;
        let grace = limits.grace;
        let callers = serve(&entry, callers_address, &stop_accepting, grace, callers::handle).await?;
        let targets = serve(&entry, targets_address, &stop_serving, grace, targets::handle).await?;
        let mut servers = vec![tokio::spawn(siblings)];
        servers.push(tokio::spawn(async move {
            let _ = targets.await;
        }));
        servers.push(tokio::spawn(tick(Arc::clone(&entry), stop_serving.clone())));
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

    /// Ends accepted work, then the servers. Returns whether all accepted work ended within the grace time.
    pub async fn close(self) -> bool {
        let engine = &self.entry.engine;
        self.entry.shutdown.cancel();
        tokio::time::sleep(self.limits.drain_delay).await;
        self.stop_accepting.cancel();
        let finish = async {
            let _ = self.callers.await;
            while engine.live_jobs() > 0 {
                tokio::time::sleep(TICK).await;
            }
            engine.tracker.close();
            engine.tracker.wait().await;
        };
        let is_finished = tokio::time::timeout(self.limits.grace, finish).await.is_ok();
        if !is_finished {
            log::error!("accepted work did not end within {:?}", self.limits.grace);
        }
        self.stop_serving.cancel();
        for server in self.servers {
            let _ = server.await;
        }
        engine
            .events
            .record(engine.events.event(EventKind::ProcessStopped));
        engine.events.flush();
        is_finished
    }
}

async fn serve<H, F, B>(
    entry: &Arc<Entry>,
    address: SocketAddr,
    shutdown: &CancellationToken,
    grace: Duration,
    handler: H,
) -> eyre::Result<JoinHandle<bool>>
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

async fn tick(entry: Arc<Entry>, shutdown: CancellationToken) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        tokio::select! {
            _ = interval.tick() => entry.engine.tick(),
            () = shutdown.cancelled() => return,
        }
    }
}
