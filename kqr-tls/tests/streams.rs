//! Streams between two ends: authentication of peers, and reload of changed TLS files.

#[path = "support/authority.rs"]
mod authority;

use std::{
    collections::BTreeSet,
    fs, io,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use authority::Authority;
use kqr_settings::TlsFiles;
use kqr_tls::{AcceptedStreams, PeerIdentity, PeerListener, PeerStream, TlsCredentials, TransportSecurity};
use kqr_types::InstanceId;
use rustls::{ClientConfig, RootCertStore, pki_types::ServerName};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

/// Maximum time to wait for a step; reached only by a step that hangs.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of connections that never start a handshake. Handled sequentially, their timeouts would add up to more than
/// the time that an opening end waits.
const SILENT_CONNECTIONS: usize = 10;

fn id(text: &str) -> InstanceId {
    text.parse().unwrap()
}

fn credentials(own: &str, files: TlsFiles) -> Arc<TlsCredentials> {
    let known = BTreeSet::from([id("control-1"), id("entry-1")]);
    Arc::new(TlsCredentials::read(id(own), known, files).unwrap())
}

fn mutual(own: &str, files: TlsFiles) -> TransportSecurity {
    TransportSecurity::Mutual(credentials(own, files))
}

async fn listen(security: TransportSecurity) -> (SocketAddr, AcceptedStreams) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (
        address,
        PeerListener::start(listener, security, CancellationToken::new()),
    )
}

async fn next_stream(incoming: &mut AcceptedStreams) -> PeerStream {
    let next = tokio::time::timeout(STEP_TIMEOUT, incoming.recv()).await;
    next.unwrap().unwrap()
}

/// Sends a body each way and returns the identity of the opening end as seen by the accepting end.
async fn exchange(mut opened: PeerStream, mut accepted: PeerStream) -> PeerIdentity {
    const BODY_BYTES: usize = 1 << 20;
    let identity = accepted.identity().clone();
    let echo = tokio::spawn(async move {
        let mut body = vec![0; BODY_BYTES];
        accepted.read_exact(&mut body).await.unwrap();
        accepted.write_all(&body).await.unwrap();
        accepted.shutdown().await.unwrap();
    });
    let body: Vec<u8> = (0..BODY_BYTES).map(|at| (at % 251) as u8).collect();
    opened.write_all(&body).await.unwrap();
    let mut back = Vec::new();
    opened.read_to_end(&mut back).await.unwrap();
    echo.await.unwrap();
    assert!(body == back);
    identity
}

/// Returns the error seen by the opening end, either on connecting or on reading the answer.
async fn connect_error(security: &TransportSecurity, address: SocketAddr) -> String {
    let mut stream = match security.connect(&id("control-1"), address).await {
        Ok(stream) => stream,
        Err(error) => return error.to_string(),
    };
    let mut byte = [0];
    let read = tokio::time::timeout(STEP_TIMEOUT, stream.read_exact(&mut byte)).await;
    read.unwrap().unwrap_err().to_string()
}

#[tokio::test]
async fn plain_stream_transfers_data_and_verifies_no_identity() {
    let (address, mut incoming) = listen(TransportSecurity::Plain).await;
    let opened = TransportSecurity::Plain
        .connect(&id("control-1"), address)
        .await
        .unwrap();
    let accepted = next_stream(&mut incoming).await;
    assert_eq!(exchange(opened, accepted).await, PeerIdentity::Unverified);
}

#[tokio::test]
async fn mutual_stream_transfers_data_and_verifies_both_ends() {
    let folder = tempfile::tempdir().unwrap();
    let authority = Authority::new("first");
    let control = mutual("control-1", authority.write(folder.path(), "c", "control-1"));
    let entry = mutual("entry-1", authority.write(folder.path(), "e", "entry-1"));
    let (address, mut incoming) = listen(control).await;
    let opened = entry.connect(&id("control-1"), address).await.unwrap();
    let accepted = next_stream(&mut incoming).await;
    let identity = exchange(opened, accepted).await;
    assert!(identity.can_act_as(&id("entry-1")));
    assert!(!identity.can_act_as(&id("control-1")));
}

#[tokio::test]
async fn unauthenticated_peers_are_rejected_and_do_not_delay_others() {
    let folder = tempfile::tempdir().unwrap();
    let elsewhere = tempfile::tempdir().unwrap();
    let (authority, other) = (Authority::new("first"), Authority::new("second"));
    let control = mutual("control-1", authority.write(folder.path(), "c", "control-1"));
    let (address, mut incoming) = listen(control).await;

    let mut plain = TransportSecurity::Plain
        .connect(&id("control-1"), address)
        .await
        .unwrap();
    plain
        .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        .await
        .unwrap();
    let mut answer = Vec::new();
    drop(plain.read_to_end(&mut answer).await);
    assert!(!answer.starts_with(b"PRI") && answer.len() < 16, "{answer:?}");

    let no_certificate = connect_without_certificate(&authority, address)
        .await
        .unwrap_err();
    assert!(
        no_certificate.to_string().contains("CertificateRequired"),
        "{no_certificate}"
    );

    // Trusts the authority of the listener, but has a certificate of another one.
    let mut files = other.write(elsewhere.path(), "e", "entry-1");
    files.authorities = folder.path().join("authorities.pem");
    let refused = connect_error(&mutual("entry-1", files), address).await;
    assert!(refused.contains("UnknownCA"), "{refused}");

    let stranger = authority.write(folder.path(), "s", "stranger");
    let refused = connect_error(&mutual("stranger", stranger), address).await;
    assert!(refused.contains("eof") || refused.contains("reset"), "{refused}");

    let mut silent = Vec::new();
    for _ in 0..SILENT_CONNECTIONS {
        silent.push(TcpStream::connect(address).await.unwrap());
    }
    let entry = mutual("entry-1", authority.write(folder.path(), "e", "entry-1"));
    let opened = entry.connect(&id("control-1"), address).await.unwrap();
    let accepted = next_stream(&mut incoming).await;
    assert!(
        exchange(opened, accepted).await.can_act_as(&id("entry-1")),
        "one of the rejected peers was accepted"
    );
}

async fn connect_without_certificate(authority: &Authority, address: SocketAddr) -> io::Result<()> {
    use rustls::pki_types::{CertificateDer, pem::PemObject};
    let mut roots = RootCertStore::empty();
    let certificate = CertificateDer::from_pem_slice(authority.pem().as_bytes()).unwrap();
    roots.add(certificate).unwrap();
    let config = ClientConfig::builder()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
    let name = ServerName::try_from("control-1").unwrap();
    let mut tls = connector
        .connect(name, TcpStream::connect(address).await?)
        .await?;
    tls.read_u8().await.map(|_| ())
}

#[tokio::test]
async fn opening_end_rejects_a_wrong_listener() {
    let folder = tempfile::tempdir().unwrap();
    let elsewhere = tempfile::tempdir().unwrap();
    let authority = Authority::new("first");
    let entry = mutual("entry-1", authority.write(folder.path(), "e", "entry-1"));

    let wrong_name = mutual("control-2", authority.write(folder.path(), "c", "control-2"));
    let (address, _incoming) = listen(wrong_name).await;
    let refused = entry.connect(&id("control-1"), address).await.unwrap_err();
    let refused = refused.to_string();
    assert!(refused.contains("connecting to control-1 at"), "{refused}");
    assert!(refused.contains("not valid for name"), "{refused}");

    let other = Authority::new("second").write(elsewhere.path(), "c", "control-1");
    let (address, _incoming) = listen(mutual("control-1", other)).await;
    let refused = entry.connect(&id("control-1"), address).await.unwrap_err();
    assert!(refused.to_string().contains("UnknownIssuer"), "{refused}");

    let (address, _incoming) = listen(TransportSecurity::Plain).await;
    assert!(entry.connect(&id("control-1"), address).await.is_err());
}

#[test]
fn unusable_files_are_named_in_the_error() {
    let folder = tempfile::tempdir().unwrap();
    let authority = Authority::new("first");
    let files = authority.write(folder.path(), "c", "control-1");
    let error = |own: &str, files: &TlsFiles| {
        let read = TlsCredentials::read(id(own), BTreeSet::new(), files.clone());
        read.unwrap_err().to_string()
    };
    let refused = error("control-2", &files);
    assert!(
        refused.contains("c.pem") && refused.contains("DNS:control-2"),
        "{refused}"
    );
    let mut missing = files.clone();
    missing.key = folder.path().join("none.key");
    let refused = error("control-1", &missing);
    assert!(refused.contains("none.key"), "{refused}");
    let mut foreign = files.clone();
    foreign.key = authority.write(folder.path(), "f", "control-1").key;
    let refused = error("control-1", &foreign);
    assert!(refused.contains("f.key"), "{refused}");
    let mut empty = files;
    empty.authorities = folder.path().join("empty.pem");
    fs::write(&empty.authorities, "").unwrap();
    let refused = error("control-1", &empty);
    assert!(refused.contains("empty.pem"), "{refused}");
}

async fn is_served(entry: &TransportSecurity, address: SocketAddr, incoming: &mut AcceptedStreams) -> bool {
    let Ok(mut opened) = entry.connect(&id("control-1"), address).await else {
        return false;
    };
    let accepted = tokio::time::timeout(Duration::from_millis(200), incoming.recv()).await;
    let Ok(Some(mut accepted)) = accepted else {
        return false;
    };
    accepted.write_all(b"k").await.unwrap();
    opened.read_u8().await.is_ok()
}

fn entry_of(authority: &Authority, folder: &Path) -> TransportSecurity {
    mutual("entry-1", authority.write(folder, "e", "entry-1"))
}

#[tokio::test]
async fn changed_files_are_used_and_invalid_ones_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let (old_folder, new_folder) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let (old, new) = (Authority::new("first"), Authority::new("second"));
    let files = old.write(folder.path(), "c", "control-1");
    let watched = credentials("control-1", files.clone());
    let (address, mut incoming) = listen(TransportSecurity::Mutual(Arc::clone(&watched))).await;
    let old_entry = entry_of(&old, old_folder.path());
    let new_entry = entry_of(&new, new_folder.path());
    assert!(is_served(&old_entry, address, &mut incoming).await);
    assert!(!is_served(&new_entry, address, &mut incoming).await);

    fs::write(&files.key, "no key").unwrap();
    let refused = watched.reload().unwrap_err().to_string();
    assert!(refused.contains("c.key"), "{refused}");
    assert!(is_served(&old_entry, address, &mut incoming).await);

    let task = Arc::clone(&watched);
    tokio::spawn(async move { task.watch(CancellationToken::new()).await });
    new.write(folder.path(), "c", "control-1");
    let start = Instant::now();
    while !is_served(&new_entry, address, &mut incoming).await {
        assert!(start.elapsed() < STEP_TIMEOUT, "the new files are not in use");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(!is_served(&old_entry, address, &mut incoming).await);
}
