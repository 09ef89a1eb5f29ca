//! A TCP proxy that simulates a network partition between two entries. Both entries stay alive.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::ports::free_address;

/// Forwards connections to a peer unless it is partitioned.
pub struct PartitionProxy {
    pub address: SocketAddr,
    is_partitioned: Arc<watch::Sender<bool>>,
}

impl PartitionProxy {
    /// Starts a proxy to `peer`.
    pub async fn start(peer: SocketAddr) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let is_partitioned = Arc::new(watch::Sender::new(false));
        let state = Arc::clone(&is_partitioned);
        tokio::spawn(async move {
            while let Ok((downstream, _)) = listener.accept().await {
                let mut state = state.subscribe();
                if *state.borrow_and_update() {
                    continue;
                }
                tokio::spawn(async move {
                    tokio::select! {
                        () = forward(downstream, peer) => {}
                        _ = state.wait_for(|is_partitioned| *is_partitioned) => {}
                    }
                });
            }
        });
        Self {
            address,
            is_partitioned,
        }
    }

    /// Closes all connections and drops new ones, or forwards connections again.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.send_replace(is_partitioned);
    }
}

async fn forward(mut downstream: TcpStream, peer: SocketAddr) {
    let Ok(mut upstream) = TcpStream::connect(peer).await else {
        return;
    };
    let _ = downstream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let _ = tokio::io::copy_bidirectional(&mut downstream, &mut upstream).await;
}
