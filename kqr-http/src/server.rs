use std::{convert::Infallible, future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Options of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Maximum time until the head of a request has arrived.
    pub head_timeout: Duration,
    /// Maximum time that open requests may take after the shutdown has begun.
    pub grace: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(10),
            grace: Duration::from_secs(30),
        }
    }
}

/// Yields until the runtime has looked for I/O events once, so that the connection of a pending handler notices
/// that its client has closed it.
///
/// The handler of an HTTP/1 request is dropped at this point if the client is gone and the body was read. In a
/// runtime with several threads this is likely, but not certain: another thread may be handling the event.
pub async fn yield_to_connection() {
    // A task of its own, because the connection may poll its handler again before the runtime gets to I/O events.
    // It can only fail at the shutdown of the runtime.
    drop(tokio::spawn(tokio::task::yield_now()).await);
}

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves connections of `listener` until `shutdown` is cancelled and the open requests have ended.
///
/// Returns whether all open requests ended within the grace time.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    options: ServerOptions,
    shutdown: CancellationToken,
    handler: H,
) -> bool
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout);
    builder.http2().timer(TokioTimer::new());
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |req| {
            let response = handler(req, peer);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection from {peer} failed: {error}");
            }
        });
    }
    drop(listener);
    tokio::time::timeout(options.grace, graceful.shutdown())
        .await
        .is_ok()
}
