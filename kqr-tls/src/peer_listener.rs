use std::{sync::Arc, time::Duration};

use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc},
};
use tokio_util::sync::CancellationToken;

use crate::{PeerStream, TransportSecurity};

/// Maximum number of accepted streams queued for the receiver.
const MAX_QUEUED_STREAMS: usize = 64;
/// Maximum number of concurrent handshakes. Further connections wait in the listen backlog of the operating system.
const MAX_CONCURRENT_HANDSHAKES: usize = 256;
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Receives the streams that a listener has accepted.
pub type AcceptedStreams = mpsc::Receiver<PeerStream>;

/// Accepts connections of other instances. A slow or failed handshake does not delay other connections.
#[derive(Debug)]
pub struct PeerListener {
    listener: TcpListener,
    security: TransportSecurity,
    handshakes: Arc<Semaphore>,
    tx: mpsc::Sender<PeerStream>,
}

impl PeerListener {
    /// Accepts connections of `listener` in a background task until `shutdown`.
    pub fn start(
        listener: TcpListener,
        security: TransportSecurity,
        shutdown: CancellationToken,
    ) -> AcceptedStreams {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_STREAMS);
        let peer_listener = Self {
            listener,
            security,
            handshakes: Arc::new(Semaphore::new(MAX_CONCURRENT_HANDSHAKES)),
            tx,
        };
        tokio::spawn(async move {
            tokio::select! {
                () = peer_listener.run() => {}
                () = shutdown.cancelled() => {}
            }
        });
        rx
    }

    async fn run(&self) {
        while !self.tx.is_closed() {
            let Ok(permit) = Arc::clone(&self.handshakes).acquire_owned().await else {
                return;
            };
            let (tcp, address) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("failed to accept a connection of an instance: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let (security, tx) = (self.security.clone(), self.tx.clone());
            tokio::spawn(async move {
                match security.accept(tcp).await {
                    Ok(stream) => drop(tx.send(stream).await),
                    Err(error) => log::warn!("rejected a connection from {address}: {error}"),
                }
                drop(permit);
            });
        }
    }
}
