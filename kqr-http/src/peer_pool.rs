use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::time::Instant;

use crate::{ClientError, ClientOptions, peer_connection::PeerConnection};

/// Idle HTTP/1 connections by address, with the `Peer` that is known to have answered on each.
///
/// A connection ends with the process that accepted it, so a request on it reaches that process or none. A pool that only
/// knows addresses can't tell a process from the next one at the same address.
#[derive(Debug)]
pub struct PeerPool<Peer> {
    shared: Arc<Shared<Peer>>,
}

#[derive(Debug)]
struct Shared<Peer> {
    options: ClientOptions,
    idle: Mutex<IdleConnections<Peer>>,
}

#[derive(Debug)]
struct IdleConnections<Peer> {
    /// Connections in the order in which they became idle.
    by_address: BTreeMap<SocketAddr, Vec<(Instant, PeerConnection<Peer>)>>,
    /// When all connections were last checked.
    checked_at: Instant,
}

impl<Peer> Clone for PeerPool<Peer> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<Peer> PeerPool<Peer> {
    /// Creates an empty pool.
    pub fn new(options: ClientOptions) -> Self {
        let idle = IdleConnections {
            by_address: BTreeMap::new(),
            checked_at: Instant::now(),
        };
        let idle = Mutex::new(idle);
        Self {
            shared: Arc::new(Shared { options, idle }),
        }
    }

    /// Takes the last used idle connection to `address` whose peer `is_accepted`.
    pub fn take<Accept>(&self, address: SocketAddr, is_accepted: Accept) -> Option<PeerConnection<Peer>>
    where
        Accept: Fn(Option<&Peer>) -> bool,
    {
        let mut idle = self.lock();
        let connections = idle.by_address.get_mut(&address)?;
        connections.retain(|(since, connection)| self.is_usable(*since, connection));
        let position = connections
            .iter()
            .rposition(|(_, connection)| is_accepted(connection.peer()))?;
        Some(connections.remove(position).1)
    }

    /// Takes an idle connection to `address`, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub async fn take_or_connect(&self, address: SocketAddr) -> Result<PeerConnection<Peer>, ClientError> {
        match self.take(address, |_| true) {
            Some(connection) => Ok(connection),
            None => PeerConnection::open(address, self.shared.options).await,
        }
    }

    /// Returns a connection to the pool after an exchange, unless it is closed.
    pub fn release(&self, connection: PeerConnection<Peer>) {
        let now = Instant::now();
        let mut idle = self.lock();
        if now.duration_since(idle.checked_at) >= self.shared.options.idle_timeout / 2 {
            idle.checked_at = now;
            idle.by_address.retain(|_, connections| {
                connections.retain(|(since, connection)| self.is_usable(*since, connection));
                !connections.is_empty()
            });
        }
        if !connection.is_closed() {
            let connections = idle.by_address.entry(connection.address()).or_default();
            connections.push((now, connection));
        }
    }

    fn is_usable(&self, since: Instant, connection: &PeerConnection<Peer>) -> bool {
        !connection.is_closed() && since.elapsed() < self.shared.options.idle_timeout
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections<Peer>> {
        self.shared.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
