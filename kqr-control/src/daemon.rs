//! Start and stop of the control daemon.

use std::{collections::BTreeMap, path::Path, time::Duration};

use eyre::{OptionExt, WrapErr, bail, ensure};
use kqr_agreement::{Configuration, Machine, Options as AgreementOptions, VoterId};
use kqr_settings::bootstrap::{Bootstrap, Instance, Role};
use kqr_store::{FolderDisk, Opened, Owner, Store};
use kqr_telemetry::{EventKind, EventLog, init_logging};
use kqr_tls::{Listening, Security};
use kqr_types::Incarnation;
use kqr_wire::control::messages::{control_server::ControlServer, operators_server::OperatorsServer};
use tokio::{net::TcpListener, signal::unix::SignalKind, sync::mpsc};
use tokio_stream::{
    StreamExt,
    wrappers::{ReceiverStream, TcpListenerStream},
};
use tokio_util::sync::CancellationToken;
use tonic::transport::Server;

use crate::{
    Options, Token,
    changes::Changes,
    control_service::ControlService,
    driver::Driver,
    links::{Links, MAX_DELIVERY_BYTES},
    node::{Node, NodeOptions},
    operators_service::OperatorsService,
    peer_check::PeerCheck,
    peers::Peers,
    request::Request,
};

/// Requests that may wait for the driver.
const QUEUED_REQUESTS: usize = 1024;
/// Time for the hand-over of the lead before the process stops.
const HAND_OVER_TIME: Duration = Duration::from_millis(300);
/// Time between heartbeats of the agreement.
const AGREEMENT_HEARTBEAT: Duration = Duration::from_millis(500);
/// Shortest time without a leader after which a voter campaigns.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Storage incarnation of the founding voters.
const FOUNDING_STORAGE: Incarnation = Incarnation(1);

/// Returns the timing of the agreement among the control instances of `founding`.
pub fn agreement_options(founding: Configuration, seed: u64) -> AgreementOptions {
    AgreementOptions {
        founding,
        election_timeout: ELECTION_TIMEOUT,
        heartbeat: AGREEMENT_HEARTBEAT,
        seed,
        ..AgreementOptions::default()
    }
}

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// Fails if the settings, the data folder or a listener can't be used, or if the durable state can't be written.
pub async fn run(options: Options) -> eyre::Result<()> {
    init_logging(&options.instance, options.log_level)?;
    let bootstrap = Bootstrap::read(&options.config)?;
    let own = bootstrap.instance(&options.instance)?.clone();
    ensure!(own.role == Role::Control, "{} is no control instance", own.id);
    let token_file = bootstrap.operator_token_file(&options.config);
    let token = Token::read(&token_file.ok_or_eyre("the bootstrap file names no operator_token_file")?)?;
    let security = Security::of_bootstrap(&bootstrap, &options.config, &own.id)?;
    let events = match &options.events {
        Some(path) => EventLog::open(own.id.clone(), path)?,
        None => EventLog::disabled(own.id.clone()),
    };
    events.record(events.event(EventKind::ProcessStarted));
    let (store, opened) = open_store(&options, &own)?;
    let mut peers = BTreeMap::new();
    for peer in bootstrap.control_instances() {
        if peer.id != own.id {
            peers.insert(peer.id.clone(), peer.peers);
        }
    }
    let voter = VoterId::new(own.id.clone(), opened.identity.storage);
    let founding = match opened.identity.storage {
        FOUNDING_STORAGE => founding(&bootstrap),
        _ => Configuration::default(),
    };
    let machine = Machine::new(voter, agreement_options(founding, seed()), opened.durable);
    let (tx, rx) = mpsc::channel(QUEUED_REQUESTS);
    let changes = Changes::new(tx, Peers::new(peers.clone(), token.clone(), security.clone()));
    let links = Links::start(&own.id, &peers, &security);
    let node = Node::new(NodeOptions::default(), machine);
    let driver = Driver::new(node, store, links, changes.clone(), events);
    let controls = bootstrap.control_instances().map(|control| control.id.clone());
    let service = ControlService::new(changes.clone(), token.clone(), PeerCheck::new(controls.collect()));
    let shell = Shell {
        own,
        changes,
        token,
        security,
    };
    shell.serve(service, driver, rx).await
}

/// What the listeners need.
struct Shell {
    own: Instance,
    changes: Changes,
    token: Token,
    security: Security,
}

impl Shell {
    async fn serve(
        self,
        service: ControlService,
        driver: Driver,
        rx: mpsc::Receiver<Request>,
    ) -> eyre::Result<()> {
        let operators = self.own.operators;
        let operators = operators.ok_or_eyre("a control instance needs an operators' listener")?;
        let peers_listener = bind(self.own.peers).await?;
        let operators_listener = bind(operators).await?;
        let stop = CancellationToken::new();
        tokio::spawn(self.security.clone().watch(stop.clone()));
        tokio::spawn(self.token.clone().watch(stop.clone()));
        let incoming = Listening::start(peers_listener, self.security, stop.clone());
        let incoming = ReceiverStream::new(incoming).map(Ok::<_, std::io::Error>);
        let control = ControlServer::new(service).max_decoding_message_size(MAX_DELIVERY_BYTES);
        let control = Server::builder()
            .add_service(control)
            .serve_with_incoming_shutdown(incoming, stop.clone().cancelled_owned());
        let service = OperatorsService::new(self.changes.clone());
        let token = self.token;
        let service = OperatorsServer::with_interceptor(service, move |call| token.check(call));
        let operators = Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(
                TcpListenerStream::new(operators_listener),
                stop.clone().cancelled_owned(),
            );
        let driver = driver.run(rx, stop.clone());
        log::info!("control instance {} is running", self.own.id);
        tokio::select! {
            result = driver => result.wrap_err("the driver of the settings log"),
            result = control => result.wrap_err("the listener for other instances"),
            result = operators => result.wrap_err("the listener for operators"),
            result = stop_on_signal(self.changes, stop.clone()) => result,
        }
    }
}

/// Waits for a signal, gives up the lead and stops the driver; returns only if no signal can be waited for.
async fn stop_on_signal(changes: Changes, stop: CancellationToken) -> eyre::Result<()> {
    wait_for_signal().await?;
    changes.tell(Request::HandOver).await;
    tokio::time::sleep(HAND_OVER_TIME).await;
    stop.cancel();
    std::future::pending().await
}

async fn bind(address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.wrap_err_with(|| format!("opening the listener {address}"))
}

async fn wait_for_signal() -> eyre::Result<()> {
    let mut terminate = tokio::signal::unix::signal(SignalKind::terminate())?;
    let mut interrupt = tokio::signal::unix::signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn open_store(options: &Options, own: &Instance) -> eyre::Result<(Store<FolderDisk>, Opened)> {
    let shown = options.data.display();
    if !options.found && !options.join && is_unused(&options.data) {
        bail!(
            "the data folder {shown} is empty: give --found to start a new system, or --join to be added to a running \
             one, also after the loss of a disk"
        );
    }
    let storage = if options.found {
        FOUNDING_STORAGE
    } else {
        new_storage()
    };
    let disk =
        FolderDisk::open(&options.data).wrap_err_with(|| format!("opening the data folder {shown}"))?;
    let owner = Owner {
        log: "settings".to_owned(),
        instance: own.id.clone(),
    };
    let opened = Store::open(disk, &owner, storage);
    let (store, opened) = opened.wrap_err_with(|| format!("reading the data folder {shown}"))?;
    if let Some(torn) = &opened.torn_tail {
        log::warn!(
            "dropped {} unacknowledged bytes at byte {} of {}",
            torn.bytes,
            torn.offset,
            torn.file
        );
    }
    Ok((store, opened))
}

/// Returns whether `folder` is missing or holds nothing but a lock.
fn is_unused(folder: &Path) -> bool {
    let Ok(files) = std::fs::read_dir(folder) else {
        return true;
    };
    for file in files.flatten() {
        if file.file_name() != "lock" {
            return false;
        }
    }
    true
}

fn founding(bootstrap: &Bootstrap) -> Configuration {
    let voters = bootstrap
        .control_instances()
        .filter(|instance| instance.founding)
        .map(|instance| VoterId::new(instance.id.clone(), FOUNDING_STORAGE));
    Configuration::of_voters(voters)
}

/// Returns the incarnation of a data folder that is created now.
fn new_storage() -> Incarnation {
    let unix = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
    Incarnation(unix.unwrap_or_default().as_millis() as u64)
}

/// Returns a seed that differs between instances and starts.
fn seed() -> u64 {
    let unix = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
    unix.unwrap_or_default().as_nanos() as u64 ^ u64::from(std::process::id()).rotate_left(40)
}
