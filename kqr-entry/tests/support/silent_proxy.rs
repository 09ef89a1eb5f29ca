//! A TCP proxy whose open connections can be made silent without being closed.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::watch,
};

use super::ports::free_address;

/// Forwards connections to one address until they are made silent.
pub struct SilentProxy {
    pub address: SocketAddr,
    /// Connections up to this number no longer forward anything.
    silent_up_to: watch::Sender<u64>,
    opened: watch::Receiver<u64>,
}

impl SilentProxy {
    /// Starts a proxy to `peer`, which may begin to listen later.
    pub async fn start(peer: SocketAddr) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let silent_up_to = watch::Sender::new(0);
        let (counter, opened) = watch::channel(0);
        let silence = silent_up_to.subscribe();
        tokio::spawn(async move {
            while let Ok((downstream, _)) = listener.accept().await {
                let Ok(upstream) = TcpStream::connect(peer).await else {
                    continue;
                };
                counter.send_modify(|number| *number += 1);
                let number = *counter.borrow();
                let (downstream, upstream) = (downstream.into_split(), upstream.into_split());
                tokio::spawn(forward(downstream.0, upstream.1, number, silence.clone()));
                tokio::spawn(forward(upstream.0, downstream.1, number, silence.clone()));
            }
        });
        Self {
            address,
            silent_up_to,
            opened,
        }
    }

    /// Makes all connections that are open now silent. Returns the number of connections opened so far.
    pub fn silence_open_connections(&self) -> u64 {
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
