//! A proxy whose open connections can be made silent without being closed.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::watch,
};

use super::ports::free_address;

/// Forwards connections to one address.
pub struct SilentProxy {
    pub address: SocketAddr,
    /// Connections of this number and below forward nothing more.
    silent_up_to: watch::Sender<u64>,
    opened: watch::Receiver<u64>,
}

impl SilentProxy {
    /// Starts to forward to `to`, which may start to listen later.
    pub async fn start(to: SocketAddr) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let silent_up_to = watch::Sender::new(0);
        let (counter, opened) = watch::channel(0);
        let silence = silent_up_to.subscribe();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(to).await else {
                    continue;
                };
                counter.send_modify(|number| *number += 1);
                let number = *counter.borrow();
                let (near, far) = (near.into_split(), far.into_split());
                tokio::spawn(forward(near.0, far.1, number, silence.clone()));
                tokio::spawn(forward(far.0, near.1, number, silence.clone()));
            }
        });
        Self {
            address,
            silent_up_to,
            opened,
        }
    }

    /// Makes the connections that are open now silent. Returns their number.
    pub fn silence(&self) -> u64 {
        let opened = *self.opened.borrow();
        self.silent_up_to.send_replace(opened);
        opened
    }

    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        *self.opened.borrow()
    }
}

async fn forward(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    number: u64,
    silent_up_to: watch::Receiver<u64>,
) {
    let mut buf = vec![0; 64 << 10];
    while let Ok(size) = rx.read(&mut buf).await {
        if *silent_up_to.borrow() >= number {
            std::future::pending::<()>().await;
        }
        if size == 0 || tx.write_all(&buf[..size]).await.is_err() {
            return;
        }
    }
}
