use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

use crate::LinkFault;

/// Size of the buffer of one direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

/// Faults that are injected into the connections of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ActiveFaults {
    fault: Option<LinkFault>,
    /// Connections up to this number are reset.
    reset_up_to: u64,
    /// Connections up to this number carry no more bytes.
    silent_up_to: u64,
}

/// A loopback proxy in front of a listener of a process.
#[derive(Debug)]
pub struct Proxy {
    faults: watch::Sender<ActiveFaults>,
    connection_count: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Listens at `address` and forwards connections to `upstream`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be used.
    pub async fn start(address: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (faults, watcher) = watch::channel(ActiveFaults::default());
        let connection_count = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&connection_count);
        let task = tokio::spawn(async move {
            loop {
                let stream = match listener.accept().await {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        log::warn!("accepting a connection at {address}: {error}");
                        tokio::time::sleep(Duration::from_millis(50)).await;
                        continue;
                    }
                };
                let number = counter.fetch_add(1, Ordering::Relaxed) + 1;
                tokio::spawn(relay(stream, upstream, number, watcher.clone()));
            }
        });
        Ok(Self {
            faults,
            connection_count,
            task,
        })
    }

    /// Injects a fault into the connections.
    pub fn inject_fault(&self, fault: LinkFault) {
        let last = self.connection_count.load(Ordering::Relaxed);
        self.faults.send_modify(|faults| match fault {
            LinkFault::Reset => faults.reset_up_to = last,
            LinkFault::Silence => faults.silent_up_to = last,
            LinkFault::Delay(_) | LinkFault::CutInward | LinkFault::CutOutward => faults.fault = Some(fault),
        });
    }

    /// Ends a lasting fault. Bytes that were held back are delivered.
    pub fn clear_fault(&self) {
        self.faults.send_modify(|faults| faults.fault = None);
    }

    /// Stops listening. Open connections last until one end closes them.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn relay(caller: TcpStream, upstream: SocketAddr, number: u64, faults: watch::Receiver<ActiveFaults>) {
    // If the process is down, dropping the stream closes the caller's connection.
    let Ok(process) = TcpStream::connect(upstream).await else {
        return;
    };
    for stream in [&caller, &process] {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("setting TCP_NODELAY on a connection to {upstream}: {error}");
        }
    }
    let mut reset_watcher = faults.clone();
    let reset = reset_watcher.wait_for(|faults| faults.reset_up_to >= number);
    let (from_caller, to_caller) = caller.into_split();
    let (from_process, to_process) = process.into_split();
    let inward = forward(
        from_caller,
        to_process,
        number,
        faults.clone(),
        LinkFault::CutInward,
    );
    let outward = forward(
        from_process,
        to_caller,
        number,
        faults.clone(),
        LinkFault::CutOutward,
    );
    tokio::select! {
        _ = async { tokio::join!(inward, outward) } => {}
        _ = reset => {}
    }
}

/// Forwards bytes until one end closes. Bytes read while the fault `cut` is active are held until it ends.
async fn forward<From, To>(
    mut from: From,
    mut to: To,
    number: u64,
    mut faults: watch::Receiver<ActiveFaults>,
    cut: LinkFault,
) where
    From: AsyncRead + Unpin,
    To: AsyncWrite + Unpin,
{
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let count = match from.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let unblocked = faults.wait_for(|faults| faults.fault != Some(cut) && faults.silent_up_to < number);
        let Ok(current) = unblocked.await.map(|faults| *faults) else {
            return;
        };
        if let Some(LinkFault::Delay(time)) = current.fault {
            tokio::time::sleep(time).await;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
    // Forwards a half-close, so that the other end sees the end of the stream.
    if let Err(error) = to.shutdown().await {
        log::debug!("shutting down a connection for writing: {error}");
    }
}
