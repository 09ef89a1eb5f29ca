use std::{collections::BTreeSet, fmt, io, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use kqr_settings::bootstrap::Bootstrap;
use kqr_types::InstanceId;
use rustls::pki_types::ServerName;
use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};
use tokio_util::sync::CancellationToken;

use crate::{PeerIdentity, PeerStream, TlsCredentials, TlsError};

/// Maximum time to open a connection including its handshake, and for the handshake of an accepted connection.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Transport security of the streams between the processes of the system.
#[derive(Clone, Debug)]
pub enum TransportSecurity {
    /// Plain TCP: anyone who can reach a listener can use it.
    Plain,
    /// Mutual TLS, with certificates on both ends.
    Mutual(Arc<TlsCredentials>),
}

impl TransportSecurity {
    /// Reads the TLS files that the bootstrap file at `config` names for the instance `own`, and logs whether TLS is used.
    ///
    /// # Errors
    ///
    /// Fails if the bootstrap file names files that can't be used.
    pub fn from_bootstrap(bootstrap: &Bootstrap, config: &Path, own: &InstanceId) -> Result<Self, TlsError> {
        let Some(files) = bootstrap.tls_files(config, own) else {
            log::warn!(
                "the bootstrap file names no TLS files: anyone who can reach the listener for instances can use it"
            );
            return Ok(Self::Plain);
        };
        let known: BTreeSet<InstanceId> = bootstrap.instances.iter().map(|known| known.id.clone()).collect();
        let credentials = TlsCredentials::read(own.clone(), known, files)?;
        log::info!("streams between instances use mutual TLS");
        Ok(Self::Mutual(Arc::new(credentials)))
    }

    /// Reloads changed TLS files until `shutdown`.
    pub async fn watch(self, shutdown: CancellationToken) {
        if let Self::Mutual(credentials) = self {
            credentials.watch(shutdown).await;
        }
    }

    /// Opens a stream to `peer`, which listens at `address`.
    ///
    /// # Errors
    ///
    /// Fails if no connection is opened in time or the other end does not prove to be `peer`. No data has been sent then.
    pub async fn connect(&self, peer: &InstanceId, address: SocketAddr) -> io::Result<PeerStream> {
        let opened = tokio::time::timeout(OPEN_TIMEOUT, self.open(peer, address)).await;
        let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        opened.map_err(|cause| with_step(&format!("connecting to {peer} at {address}"), &cause))
    }

    async fn open(&self, peer: &InstanceId, address: SocketAddr) -> io::Result<PeerStream> {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        let Self::Mutual(credentials) = self else {
            return Ok(PeerStream::plain(tcp));
        };
        let name = ServerName::try_from(peer.as_str().to_owned());
        let name = name
            .map_err(|_| io::Error::other(format!("{peer} is not a valid DNS name, which TLS requires")))?;
        let connector = TlsConnector::from(Arc::clone(&credentials.configs().client));
        let tls = connector.connect(name, tcp).await?;
        let ids = BTreeSet::from([peer.clone()]);
        let identity = PeerIdentity::Verified(Arc::new(ids));
        Ok(PeerStream::verified(TlsStream::Client(tls), identity))
    }

    /// Performs the handshake of the accepted connection `tcp`.
    ///
    /// # Errors
    ///
    /// Fails if the other end does not prove in time to be one of the known instances.
    pub async fn accept(&self, tcp: TcpStream) -> io::Result<PeerStream> {
        let accepted = tokio::time::timeout(OPEN_TIMEOUT, self.perform_handshake(tcp)).await;
        accepted.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    async fn perform_handshake(&self, tcp: TcpStream) -> io::Result<PeerStream> {
        tcp.set_nodelay(true)?;
        let Self::Mutual(credentials) = self else {
            return Ok(PeerStream::plain(tcp));
        };
        let acceptor = TlsAcceptor::from(Arc::clone(&credentials.configs().server));
        let tls = acceptor.accept(tcp).await?;
        let certificates = tls.get_ref().1.peer_certificates().unwrap_or_default();
        let certificate = certificates
            .first()
            .ok_or_else(|| io::Error::other("the peer presented no certificate"))?;
        let ids = PeerIdentity::of_certificate(certificate, credentials.known()).map_err(io::Error::other)?;
        if ids.is_empty() {
            return Err(io::Error::other(
                "the peer's certificate contains no id of a known instance",
            ));
        }
        let identity = PeerIdentity::Verified(Arc::new(ids));
        Ok(PeerStream::verified(TlsStream::Server(tls), identity))
    }
}

fn with_step(step: &str, cause: &dyn fmt::Display) -> io::Error {
    io::Error::other(format!("{step}: {cause}"))
}
