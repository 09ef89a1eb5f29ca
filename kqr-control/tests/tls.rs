//! Control processes with mutual TLS: authorization of peers, and replacement of certificates without a
//! restart.

#[path = "../../kqr-tls/tests/support/authority.rs"]
mod authority;
mod daemons;

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, Instant},
};

use authority::Authority;
use daemons::{Processes, STEP_TIMEOUT};
use kqr::{ChangeOptions, Connection};
use kqr_agreement::{Body, Message, Term, VoterId};
use kqr_control::Envelope;
use kqr_settings::{Action, Edit, Follower, FollowerOptions, Version, bootstrap::Bootstrap};
use kqr_tls::{TlsCredentials, TransportSecurity};
use kqr_types::{Incarnation, InstanceId};
use kqr_wire::control::{
    SettingsStream, connect, connect_instance,
    messages::{Delivery, FollowRequest, control_client::ControlClient},
    rank_control_peers,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tonic::{Code, Status, transport::Channel};

const TLS: &str = "tls: { certificate: \"tls/{instance}.pem\", key: \"tls/{instance}.key\", authorities: tls/authorities.pem }";

struct System {
    processes: Processes,
    connection: Connection,
}

impl System {
    async fn start(authority: &Authority) -> Self {
        let mut processes = Processes::prepare(TLS);
        let folder = processes.folder.path().join("tls");
        fs::create_dir(&folder).unwrap();
        sign_controls(authority, &folder);
        processes.found();
        let connection = processes.connection("token");
        processes.leader(&connection).await;
        Self {
            processes,
            connection,
        }
    }

    fn folder(&self) -> PathBuf {
        self.processes.folder.path().join("tls")
    }

    async fn set(&self, change: &str, base: u64, value: &str) -> u64 {
        let options = ChangeOptions {
            change_id: Some(change.parse().unwrap()),
            base: Some(Version(base)),
            operator: "signe".parse().unwrap(),
            exclusive: false,
        };
        let edit = Edit {
            path: "limits/queued".parse().unwrap(),
            value: Some(value.to_owned()),
        };
        let accepted = kqr::submit(&self.connection, &options, None, Action::Edit(vec![edit])).await;
        accepted.unwrap().version.0
    }

    /// Opens a channel to `control-0` with `security`.
    async fn channel(&self, security: &TransportSecurity) -> Result<Channel, Status> {
        connect_instance(security, &id("control-0"), self.processes.peers[0]).await
    }

    /// Opens a settings stream as `entry-1` and waits for its first event.
    async fn follow_once(&self, security: &TransportSecurity) -> Result<(), Status> {
        let mut client = ControlClient::new(self.channel(security).await?);
        let mut events = client.follow(change_request("entry-1")).await?.into_inner();
        let first = tokio::time::timeout(STEP_TIMEOUT, events.message())
            .await
            .unwrap()?;
        assert!(first.is_some());
        Ok(())
    }

    /// Follows the settings as `entry-1` and publishes each applied version.
    fn follow(&self, security: TransportSecurity, stop: CancellationToken) -> watch::Receiver<u64> {
        let bootstrap = Bootstrap::read(&self.processes.folder.path().join("instances.yaml")).unwrap();
        let own = bootstrap.instance(&id("entry-1")).unwrap().clone();
        let peers = rank_control_peers(&bootstrap, &own);
        let ids = peers.iter().map(|peer| peer.id.clone()).collect();
        let follower = Follower::new(FollowerOptions::default(), ids, None);
        let stream = SettingsStream::new(own.id, peers, follower).with_security(security);
        let (tx, rx) = watch::channel(0);
        tokio::spawn(stream.run(
            move |version, _| {
                tx.send_replace(version.0);
            },
            stop,
        ));
        rx
    }
}

fn id(text: &str) -> InstanceId {
    text.parse().unwrap()
}

fn sign_controls(authority: &Authority, folder: &Path) {
    for number in 0..3 {
        let name = format!("control-{number}");
        authority.write(folder, &name, &name);
    }
}

/// Returns the security of `name` with a certificate that `authority` signed. It trusts the authorities of
/// `system`.
fn security(system: &System, authority: &Authority, name: &str) -> TransportSecurity {
    let folder = tempfile::tempdir().unwrap();
    let mut files = authority.write(folder.path(), name, name);
    files.authorities = system.folder().join("authorities.pem");
    TransportSecurity::Mutual(Arc::new(
        TlsCredentials::read(id(name), BTreeSet::new(), files).unwrap(),
    ))
}

fn change_request(instance: &str) -> FollowRequest {
    FollowRequest {
        instance: instance.to_owned(),
        since: None,
        needs_confirmation: false,
        is_last_resort: true,
    }
}

async fn wait_for(rx: &mut watch::Receiver<u64>, version: u64) {
    let waiting = rx.wait_for(|applied| *applied >= version);
    tokio::time::timeout(STEP_TIMEOUT, waiting)
        .await
        .unwrap()
        .unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_instances_with_their_certificates_are_served() {
    let authority = Authority::new("first");
    let system = System::start(&authority).await;
    let stop = CancellationToken::new();
    let entry = security(&system, &authority, "entry-1");
    let mut applied = system.follow(entry.clone(), stop.clone());
    assert_eq!(system.set("c1", 0, "5").await, 1);
    wait_for(&mut applied, 1).await;

    let plain = connect(system.processes.peers[0]).await;
    let refused = match plain {
        Ok(channel) => ControlClient::new(channel)
            .follow(change_request("entry-1"))
            .await
            .map(drop),
        Err(status) => Err(status),
    };
    assert!(refused.is_err(), "a peer without a certificate is served");
    let foreign = security(&system, &Authority::new("second"), "entry-1");
    assert!(
        system.follow_once(&foreign).await.is_err(),
        "a certificate of another authority is accepted"
    );
    let unknown = security(&system, &authority, "foreign");
    assert!(
        system.follow_once(&unknown).await.is_err(),
        "a certificate without the id of an instance is accepted"
    );

    let channel = system.channel(&entry).await.unwrap();
    let mut client = ControlClient::new(channel);
    let refused = client.follow(change_request("control-1")).await.unwrap_err();
    assert_eq!(refused.code(), Code::PermissionDenied, "{refused}");
    let forged = Envelope {
        from: VoterId::new(id("control-1"), Incarnation(1)),
        message: Message {
            to: VoterId::new(id("control-0"), Incarnation(1)),
            term: Term(1),
            body: Body::VoteReply { is_granted: true },
        },
    };
    let delivery = Delivery {
        from: "control-1".to_owned(),
        messages: vec![forged.encode().unwrap()],
    };
    let refused = client.deliver(tokio_stream::once(delivery)).await.unwrap_err();
    assert_eq!(refused.code(), Code::PermissionDenied, "{refused}");
    system.follow_once(&entry).await.unwrap();
    stop.cancel();
}

async fn wait_until_served(system: &System, security: &TransportSecurity) {
    let start = Instant::now();
    while let Err(status) = system.follow_once(security).await {
        assert!(start.elapsed() < STEP_TIMEOUT, "{status}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn certificates_and_authorities_are_replaced_without_a_restart() {
    let (old, new) = (Authority::new("first"), Authority::new("second"));
    let mut system = System::start(&old).await;
    assert_eq!(system.set("c1", 0, "5").await, 1);
    let entry = security(&system, &new, "entry-1");
    assert!(system.follow_once(&entry).await.is_err());

    // Both authorities are trusted first; then the certificates are replaced.
    let both = format!("{}{}", old.pem(), new.pem());
    fs::write(system.folder().join("authorities.pem"), &both).unwrap();
    wait_until_served(&system, &entry).await;
    sign_controls(&new, &system.folder());
    fs::write(system.folder().join("authorities.pem"), &both).unwrap();
    let only_new = tempfile::tempdir().unwrap();
    let files = new.write(only_new.path(), "entry-1", "entry-1");
    let keys = TlsCredentials::read(id("entry-1"), BTreeSet::new(), files).unwrap();
    wait_until_served(&system, &TransportSecurity::Mutual(Arc::new(keys))).await;

    // A restarted voter connects to the processes that replaced their certificates at run time.
    let leader = system.processes.leader(&system.connection).await;
    system.processes.kill(leader);
    system.processes.start_instance(leader, &[]);
    system.processes.kill((leader + 1) % 3);
    assert_eq!(system.set("c2", 1, "6").await, 2);
}
