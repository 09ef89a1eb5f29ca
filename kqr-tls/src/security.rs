use std::{collections::BTreeSet, fmt, io, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use kqr_settings::bootstrap::Bootstrap;
use kqr_types::InstanceId;
use rustls::pki_types::ServerName;
use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};
use tokio_util::sync::CancellationToken;

use crate::{PeerIdentity, PeerStream, TlsCredentials, TlsError};

/// Longest time for opening a connection with its handshake, and for the handshake of an accepted one.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// How this process speaks to the others.
#[derive(Clone, Debug)]
pub enum TransportSecurity {
    /// Plain TCP: anybody who reaches a listener can speak to it.
    Plain,
    /// TLS with certificates on both ends.
    Mutual(Arc<TlsCredentials>),
}

impl TransportSecurity {
    /// Reads what the bootstrap file at `config` says about TLS for the instance `own`, and tells it in the log.
    ///
    /// # Errors
    ///
    /// Fails if the bootstrap file names files that can't be used.
    pub fn from_bootstrap(bootstrap: &Bootstrap, config: &Path, own: &InstanceId) -> Result<Self, TlsError> {
        let Some(files) = bootstrap.tls_files(config, own) else {
            log::warn!(
                "the bootstrap file names no TLS files: whoever reaches the listener for instances can use it"
            );
            return Ok(Self::Plain);
        };
        let known: BTreeSet<InstanceId> = bootstrap.instances.iter().map(|known| known.id.clone()).collect();
        let keys = TlsCredentials::read(own.clone(), known, files)?;
        log::info!("instances speak TLS with certificates on both ends");
        Ok(Self::Mutual(Arc::new(keys)))
    }

    /// Reads changed files anew until `shutdown`.
    pub async fn watch(self, shutdown: CancellationToken) {
        if let Self::Mutual(keys) = self {
            keys.watch(shutdown).await;
        }
    }

    /// Opens a stream to `peer`, which listens at `address`.
    ///
    /// # Errors
    ///
    /// Fails if no connection is opened in time or the other end does not prove to be `peer`; nothing was sent then.
    pub async fn connect(&self, peer: &InstanceId, address: SocketAddr) -> io::Result<PeerStream> {
        let opened = tokio::time::timeout(OPEN_TIMEOUT, self.open(peer, address)).await;
        let opened = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        opened.map_err(|cause| failed(&format!("connecting to {peer} at {address}"), &cause))
    }

    async fn open(&self, peer: &InstanceId, address: SocketAddr) -> io::Result<PeerStream> {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        let Self::Mutual(keys) = self else {
            return Ok(PeerStream::plain(tcp));
        };
        let name = ServerName::try_from(peer.as_str().to_owned());
        let name = name.map_err(|_| io::Error::other(format!("{peer} is no DNS name, as TLS needs")))?;
        let connector = TlsConnector::from(Arc::clone(&keys.material().client));
        let tls = connector.connect(name, tcp).await?;
        let ids = BTreeSet::from([peer.clone()]);
        let identity = PeerIdentity::Verified(Arc::new(ids));
        Ok(PeerStream::verified(TlsStream::Client(tls), identity))
    }

    /// Prepares the stream of the accepted connection `tcp`.
    ///
    /// # Errors
    ///
    /// Fails if the other end does not prove in time to be one of the known instances.
    pub async fn accept(&self, tcp: TcpStream) -> io::Result<PeerStream> {
        let accepted = tokio::time::timeout(OPEN_TIMEOUT, self.shake_hands(tcp)).await;
        accepted.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    async fn shake_hands(&self, tcp: TcpStream) -> io::Result<PeerStream> {
        tcp.set_nodelay(true)?;
        let Self::Mutual(keys) = self else {
            return Ok(PeerStream::plain(tcp));
        };
        let acceptor = TlsAcceptor::from(Arc::clone(&keys.material().server));
        let tls = acceptor.accept(tcp).await?;
        let certificates = tls.get_ref().1.peer_certificates().unwrap_or_default();
        let certificate = certificates
            .first()
            .ok_or_else(|| io::Error::other("the peer has no certificate"))?;
        let ids = PeerIdentity::of_certificate(certificate, keys.known()).map_err(io::Error::other)?;
        if ids.is_empty() {
            return Err(io::Error::other(
                "the peer's certificate carries the id of no instance",
            ));
        }
        let identity = PeerIdentity::Verified(Arc::new(ids));
        Ok(PeerStream::verified(TlsStream::Server(tls), identity))
    }
}

fn failed(step: &str, cause: &dyn fmt::Display) -> io::Error {
    io::Error::other(format!("{step}: {cause}"))
}
