//! Startup and shutdown of the control daemon.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use eyre::{OptionExt, WrapErr, ensure};
use kqr_agreement::{Configuration, Machine, Options as AgreementOptions, VoterId};
use kqr_settings::bootstrap::{Bootstrap, Instance, Role};
use kqr_store::{FolderDisk, Founding, FoundingId, RecoveredState, Store};
use kqr_telemetry::{EventKind, EventLog, init_logging};
use kqr_tls::{PeerListener, TransportSecurity};
use kqr_types::InstanceId;
use kqr_wire::control::{
    Peer,
    messages::{control_server::ControlServer, operators_server::OperatorsServer},
};
use tokio::{net::TcpListener, signal::unix::SignalKind, sync::mpsc, task::JoinHandle};
use tokio_stream::{
    StreamExt,
    wrappers::{ReceiverStream, TcpListenerStream},
};
use tokio_util::sync::CancellationToken;
use tonic::transport::Server;

use crate::{
    Options, Token,
    control_service::ControlService,
    data_folder::{DataFolder, FOUNDING_STORAGE, Start},
    driver::Driver,
    founding_client::FoundingClient,
    founding_state::FoundingState,
    leader_client::LeaderClient,
    links::{Links, MAX_DELIVERY_BYTES},
    node::{Node, NodeOptions},
    operators_service::OperatorsService,
    peer_authorizer::PeerAuthorizer,
    request::Request,
    settings_client::SettingsClient,
};

/// Maximum number of requests that wait for the driver.
const MAX_QUEUED_REQUESTS: usize = 1024;
/// Time for the transfer of leadership before the process stops.
const LEADERSHIP_TRANSFER_TIME: Duration = Duration::from_millis(300);
/// Interval between heartbeats of the agreement.
const AGREEMENT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time without a leader after which a voter campaigns.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the options of the agreement among the control instances, with the initial configuration
/// `founding`.
pub fn agreement_options(founding: Configuration, seed: u64) -> AgreementOptions {
    AgreementOptions {
        founding,
        election_timeout: ELECTION_TIMEOUT,
        heartbeat: AGREEMENT_HEARTBEAT_INTERVAL,
        seed,
        ..AgreementOptions::default()
    }
}

/// Runs the daemon until it receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the bootstrap file, the data folder or a listener can't be used, if a running
/// system refuses to be founded again, or if the durable state can't be written.
pub async fn run(options: Options) -> eyre::Result<()> {
    init_logging(&options.instance, options.log_level)?;
    let bootstrap = Bootstrap::read(&options.config)?;
    let own = bootstrap.instance(&options.instance)?.clone();
    ensure!(own.role == Role::Control, "{} is not a control instance", own.id);
    let token_file = bootstrap.operator_token_file(&options.config);
    let token = Token::read(&token_file.ok_or_eyre("the bootstrap file names no operator_token_file")?)?;
    let security = TransportSecurity::from_bootstrap(&bootstrap, &options.config, &own.id)?;
    let events = match &options.events {
        Some(path) => EventLog::open(own.id.clone(), path)?,
        None => EventLog::disabled(own.id.clone()),
    };
    events.record(events.new_event(EventKind::ProcessStarted));
    let folder = DataFolder::open(&options, &own)?;
    let (tx, rx) = mpsc::channel(MAX_QUEUED_REQUESTS);
    let addresses = peer_addresses(&bootstrap, &own);
    let client = SettingsClient::new(tx, LeaderClient::new(addresses, token.clone(), security.clone()));
    let daemon = Daemon {
        bootstrap,
        own,
        client,
        token,
        security,
        founding: FoundingState::starting(),
        stop: CancellationToken::new(),
    };
    daemon.run(folder, events, rx).await
}

/// State that the tasks of the process share.
struct Daemon {
    bootstrap: Bootstrap,
    own: Instance,
    client: SettingsClient,
    token: Token,
    security: TransportSecurity,
    founding: FoundingState,
    stop: CancellationToken,
}

impl Daemon {
    async fn run(
        self,
        folder: DataFolder,
        events: EventLog,
        rx: mpsc::Receiver<Request>,
    ) -> eyre::Result<()> {
        tokio::spawn(self.security.clone().watch(self.stop.clone()));
        tokio::spawn(self.token.clone().watch(self.stop.clone()));
        let instances = self.serve_instances().await?;
        if folder.start() == Start::Found {
            tokio::select! {
                founded = self.found_system(&folder) => founded?,
                stopped = wait_for_signal() => return stopped,
            }
        }
        let founding = folder.founding()?;
        let (store, opened) = folder.into_store()?;
        let is_founder = opened.identity.storage == FOUNDING_STORAGE;
        self.founding.set_running(founding.filter(|_| is_founder));
        let driver = self.create_driver(store, opened, events);
        self.serve(instances, driver, rx).await
    }

    /// Opens the listener for other instances and serves it in a separate task.
    async fn serve_instances(&self) -> eyre::Result<JoinHandle<Result<(), tonic::transport::Error>>> {
        let listener = bind(self.own.peers).await?;
        let incoming = PeerListener::start(listener, self.security.clone(), self.stop.clone());
        let incoming = ReceiverStream::new(incoming).map(Ok::<_, std::io::Error>);
        let controls = self.bootstrap.control_instances();
        let authorizer = PeerAuthorizer::new(controls.map(|control| control.id.clone()).collect());
        let service = ControlService::new(
            self.client.clone(),
            self.token.clone(),
            authorizer,
            self.founding.clone(),
        );
        let service = ControlServer::new(service).max_decoding_message_size(MAX_DELIVERY_BYTES);
        let stopped = self.stop.clone().cancelled_owned();
        let serving = Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, stopped);
        Ok(tokio::spawn(serving))
    }

    /// Founds a system together with the other founding instances.
    async fn found_system(&self, folder: &DataFolder) -> eyre::Result<()> {
        let own = folder.begin_founding(FoundingId(generate_seed()))?;
        self.founding.set_founding(own);
        let mut others = Vec::new();
        for control in self.bootstrap.control_instances() {
            if control.founding && control.id != self.own.id {
                others.push(Peer {
                    id: control.id.clone(),
                    address: control.peers,
                });
            }
        }
        log::info!("founding a system together with {} others", others.len());
        let client = FoundingClient {
            own: self.own.id.clone(),
            founding: own,
            others,
            security: self.security.clone(),
        };
        let others = client.exchange_ids().await?;
        let founding = Founding { own, others };
        // From now on a different data folder of another founder is refused.
        self.founding.set_running(Some(founding.clone()));
        folder.write_founding(&founding)
    }

    fn create_driver(&self, store: Store<FolderDisk>, opened: RecoveredState, events: EventLog) -> Driver {
        let storage = opened.identity.storage;
        let voter = VoterId::new(self.own.id.clone(), storage);
        let founding = match storage {
            FOUNDING_STORAGE => founding_configuration(&self.bootstrap),
            _ => Configuration::default(),
        };
        let machine = Machine::new(
            voter,
            agreement_options(founding, generate_seed()),
            opened.durable,
        );
        let addresses = peer_addresses(&self.bootstrap, &self.own);
        let links = Links::start(&self.own.id, &addresses, &self.security);
        let node = Node::new(NodeOptions::default(), machine);
        Driver::new(node, store, links, self.client.clone(), events)
    }

    async fn serve(
        self,
        instances: JoinHandle<Result<(), tonic::transport::Error>>,
        driver: Driver,
        rx: mpsc::Receiver<Request>,
    ) -> eyre::Result<()> {
        let operators = self.own.operators;
        let operators = operators.ok_or_eyre("a control instance needs an operators' listener")?;
        let listener = bind(operators).await?;
        let service = OperatorsService::new(self.client.clone());
        let token = self.token;
        let service = OperatorsServer::with_interceptor(service, move |call| token.check(call));
        let operators = Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(
                TcpListenerStream::new(listener),
                self.stop.clone().cancelled_owned(),
            );
        let driver = driver.run(rx, self.stop.clone());
        log::info!("control instance {} is running", self.own.id);
        tokio::select! {
            result = driver => result.wrap_err("the driver of the settings log failed"),
            result = instances => result?.wrap_err("the listener for other instances failed"),
            result = operators => result.wrap_err("the listener for operators failed"),
            result = stop_on_signal(self.client, self.stop.clone()) => result,
        }
    }
}

/// Returns the listener addresses of the other control instances.
fn peer_addresses(bootstrap: &Bootstrap, own: &Instance) -> BTreeMap<InstanceId, SocketAddr> {
    let mut addresses = BTreeMap::new();
    for peer in bootstrap.control_instances() {
        if peer.id != own.id {
            addresses.insert(peer.id.clone(), peer.peers);
        }
    }
    addresses
}

/// Waits for a signal, transfers leadership and stops the driver. Returns only if signals can't be received.
async fn stop_on_signal(client: SettingsClient, stop: CancellationToken) -> eyre::Result<()> {
    wait_for_signal().await?;
    client.send(Request::HandOver).await;
    tokio::time::sleep(LEADERSHIP_TRANSFER_TIME).await;
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

fn founding_configuration(bootstrap: &Bootstrap) -> Configuration {
    let voters = bootstrap
        .control_instances()
        .filter(|instance| instance.founding)
        .map(|instance| VoterId::new(instance.id.clone(), FOUNDING_STORAGE));
    Configuration::of_voters(voters)
}

/// Returns a seed that differs between instances and between starts of an instance.
fn generate_seed() -> u64 {
    let unix = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
    unix.unwrap_or_default().as_nanos() as u64 ^ u64::from(std::process::id()).rotate_left(40)
}
