use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kqr_types::InstanceId;
use kqr_wire::siblings::SiblingClient;
use tarpc::{client, serde_transport::tcp, tokio_serde::formats::Bincode};

use crate::sibling_link::SiblingLink;

/// Longest time for opening a connection to a sibling.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest message between siblings, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Connections to sibling entries, opened on first use.
#[derive(Debug)]
pub struct SiblingLinks {
    silence: Duration,
    links: Mutex<BTreeMap<InstanceId, SiblingLink>>,
}

impl SiblingLinks {
    /// Creates links that count as silent after `silence` without an answer.
    pub fn new(silence: Duration) -> Self {
        Self {
            silence,
            links: Mutex::default(),
        }
    }

    /// Returns the open connection to `peer`, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened; nothing was sent then.
    pub async fn get(&self, peer: &InstanceId, address: SocketAddr) -> std::io::Result<SiblingLink> {
        if let Some(link) = self.lock().get(peer) {
            return Ok(link.clone());
        }
        let mut connecting = tcp::connect(address, Bincode::default);
        connecting.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        transport.get_ref().set_nodelay(true)?;
        let client = SiblingClient::new(client::Config::default(), transport).spawn();
        let link = SiblingLink::new(client, self.silence);
        // Of two connections that were opened at the same time, one is kept for all.
        Ok(self.lock().entry(peer.clone()).or_insert(link).clone())
    }

    /// Gives up a connection to `peer`, so that its open calls end and the next call opens a new one.
    pub fn forget(&self, peer: &InstanceId, link: &SiblingLink) {
        link.lost.cancel();
        let mut links = self.lock();
        if links.get(peer).is_some_and(|present| present.lost.is_cancelled()) {
            links.remove(peer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, SiblingLink>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
