//! A connection between two entries that a test can cut and heal. Both ends stay alive.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::ports::free_address;

/// A listener that carries connections to `peer` while it is not cut.
pub struct Cut {
    pub address: SocketAddr,
    is_cut: Arc<watch::Sender<bool>>,
}

impl Cut {
    /// Opens the listener.
    pub async fn open(peer: SocketAddr) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let is_cut = Arc::new(watch::Sender::new(false));
        let state = Arc::clone(&is_cut);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let mut state = state.subscribe();
                if *state.borrow_and_update() {
                    continue;
                }
                tokio::spawn(async move {
                    tokio::select! {
                        () = carry(near, peer) => {}
                        _ = state.wait_for(|is_cut| *is_cut) => {}
                    }
                });
            }
        });
        Self { address, is_cut }
    }

    /// Cuts all connections, or lets new ones through.
    pub fn set(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }
}

async fn carry(mut near: TcpStream, peer: SocketAddr) {
    let Ok(mut far) = TcpStream::connect(peer).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
}
