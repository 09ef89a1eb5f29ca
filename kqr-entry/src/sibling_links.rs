use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kqr_types::InstanceId;
use kqr_wire::siblings::SiblingClient;
use tarpc::{client, serde_transport::tcp, tokio_serde::formats::Bincode};
use tokio::sync::Mutex;

/// Longest time for opening a connection to a sibling.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections to sibling entries, opened on first use.
#[derive(Debug, Default)]
pub struct SiblingLinks {
    clients: Mutex<BTreeMap<InstanceId, SiblingClient>>,
}

impl SiblingLinks {
    /// Returns the open connection to `peer`, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened; nothing was sent then.
    pub async fn get(&self, peer: &InstanceId, address: SocketAddr) -> Result<SiblingClient, std::io::Error> {
        if let Some(client) = self.clients.lock().await.get(peer) {
            return Ok(client.clone());
        }
        let connecting = tcp::connect(address, Bincode::default);
        let transport = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| {
                std::io::Error::new(
                    std::io::ErrorKind::TimedOut,
                    "the connection was not opened in time",
                )
            })??;
        let client = SiblingClient::new(client::Config::default(), transport).spawn();
        self.clients.lock().await.insert(peer.clone(), client.clone());
        Ok(client)
    }

    /// Forgets the connection to `peer`, so that the next call opens a new one.
    pub async fn forget(&self, peer: &InstanceId) {
        self.clients.lock().await.remove(peer);
    }
}
