use std::{sync::Arc, time::Duration};

use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc},
};
use tokio_util::sync::CancellationToken;

use crate::{PeerStream, TransportSecurity};

/// Prepared streams that may wait to be taken.
const QUEUED_STREAMS: usize = 64;
/// Handshakes that may be under way at a time. Further connections wait in the queue of the system.
const MAX_HANDSHAKES: usize = 256;
/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes the streams that a listener accepted.
pub type AcceptedStreams = mpsc::Receiver<PeerStream>;

/// A listener for other instances. A slow or refused handshake holds up no other one.
#[derive(Debug)]
pub struct PeerListener {
    listener: TcpListener,
    security: TransportSecurity,
    handshakes: Arc<Semaphore>,
    tx: mpsc::Sender<PeerStream>,
}

impl PeerListener {
    /// Accepts connections of `listener` in a task of its own until `shutdown`.
    pub fn start(
        listener: TcpListener,
        security: TransportSecurity,
        shutdown: CancellationToken,
    ) -> AcceptedStreams {
        let (tx, rx) = mpsc::channel(QUEUED_STREAMS);
        let listening = Self {
            listener,
            security,
            handshakes: Arc::new(Semaphore::new(MAX_HANDSHAKES)),
            tx,
        };
        tokio::spawn(async move {
            tokio::select! {
                () = listening.run() => {}
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
                    log::warn!("accepting a connection of an instance: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let (security, tx) = (self.security.clone(), self.tx.clone());
            tokio::spawn(async move {
                match security.accept(tcp).await {
                    Ok(stream) => drop(tx.send(stream).await),
                    Err(error) => log::warn!("refused a connection from {address}: {error}"),
                }
                drop(permit);
            });
        }
    }
}
