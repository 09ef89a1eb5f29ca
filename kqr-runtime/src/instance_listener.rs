use std::{sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};

/// Delay after a failed accept. Without it, a process without free descriptors would spend all its time on failing.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listener for connections of other instances, whose number is limited.
#[derive(Debug)]
pub(crate) struct InstanceListener {
    listener: TcpListener,
    purpose: &'static str,
    permits: Arc<Semaphore>,
}

impl InstanceListener {
    /// Accepts at most `max_connections` at a time on `listener`, for `purpose`.
    pub(crate) fn new(listener: TcpListener, purpose: &'static str, max_connections: usize) -> Self {
        Self {
            listener,
            purpose,
            permits: Arc::new(Semaphore::new(max_connections)),
        }
    }

    /// Waits for the next connection, which counts until the permit is dropped. Connections beyond the limit are closed.
    pub(crate) async fn accept(&self) -> (TcpStream, OwnedSemaphorePermit) {
        loop {
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("accepting a connection for {}: {error}", self.purpose);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
                return (stream, permit);
            }
            log::debug!("closing a connection for {}: too many are open", self.purpose);
            tokio::task::yield_now().await;
        }
    }
}
