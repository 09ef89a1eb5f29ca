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

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What the connections of a proxy do now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Mode {
    fault: Option<LinkFault>,
    /// Connections up to this number are reset.
    reset_to: u64,
    /// Connections up to this number are silent for good.
    silent_to: u64,
}

/// A loopback proxy before a listener of a process.
#[derive(Debug)]
pub struct Proxy {
    mode: watch::Sender<Mode>,
    connections: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Listens at `address` and passes connections on to `process`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be used.
    pub async fn start(address: SocketAddr, process: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (mode, seen) = watch::channel(Mode::default());
        let connections = Arc::new(AtomicU64::new(0));
        let numbers = Arc::clone(&connections);
        let task = tokio::spawn(async move {
            loop {
                let stream = match listener.accept().await {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        log::warn!("accepting at {address}: {error}");
                        tokio::time::sleep(Duration::from_millis(50)).await;
                        continue;
                    }
                };
                let number = numbers.fetch_add(1, Ordering::Relaxed) + 1;
                tokio::spawn(relay(stream, process, number, seen.clone()));
            }
        });
        Ok(Self {
            mode,
            connections,
            task,
        })
    }

    /// Begins a fault.
    pub fn inject_fault(&self, fault: LinkFault) {
        let last = self.connections.load(Ordering::Relaxed);
        self.mode.send_modify(|mode| match fault {
            LinkFault::Reset => mode.reset_to = last,
            LinkFault::Silence => mode.silent_to = last,
            LinkFault::Delay(_) | LinkFault::CutInward | LinkFault::CutOutward => mode.fault = Some(fault),
        });
    }

    /// Ends the fault. What was held up arrives now.
    pub fn clear_fault(&self) {
        self.mode.send_modify(|mode| mode.fault = None);
    }

    /// Stops listening; open connections go on until an end closes them.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn relay(caller: TcpStream, process: SocketAddr, number: u64, mode: watch::Receiver<Mode>) {
    // A process that is down refuses the connection, and the caller sees it closed.
    let Ok(process_side) = TcpStream::connect(process).await else {
        return;
    };
    for stream in [&caller, &process_side] {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("a connection to {process}: {error}");
        }
    }
    let mut seen = mode.clone();
    let reset = seen.wait_for(|mode| mode.reset_to >= number);
    let (from_caller, to_caller) = caller.into_split();
    let (from_process, to_process) = process_side.into_split();
    let inward = pass(
        from_caller,
        to_process,
        number,
        mode.clone(),
        LinkFault::CutInward,
    );
    let outward = pass(
        from_process,
        to_caller,
        number,
        mode.clone(),
        LinkFault::CutOutward,
    );
    tokio::select! {
        _ = async { tokio::join!(inward, outward) } => {}
        _ = reset => {}
    }
}

/// Passes bytes on until an end closes. Bytes that are read while `cut` is at work wait for its end.
async fn pass<From, To>(
    mut from: From,
    mut to: To,
    number: u64,
    mut mode: watch::Receiver<Mode>,
    cut: LinkFault,
) where
    From: AsyncRead + Unpin,
    To: AsyncWrite + Unpin,
{
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let count = match from.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let is_open = mode.wait_for(|mode| mode.fault != Some(cut) && mode.silent_to < number);
        let Ok(now) = is_open.await.map(|mode| *mode) else {
            return;
        };
        if let Some(LinkFault::Delay(time)) = now.fault {
            tokio::time::sleep(time).await;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
    // An end that closed its side is told to the other one.
    if let Err(error) = to.shutdown().await {
        log::debug!("closing a connection: {error}");
    }
}
