use std::{convert::Infallible, future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{self, HeaderValue},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use tokio::{net::TcpListener, time::MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use crate::{
    ClientBudget, ClientLimits, HEAD_BYTES, RequestScope, Share, text_response, tracked_body::TrackedBody,
    tracked_io::TrackedIo,
};

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
/// Interval between checks of the time limits of connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Memory that an open request counts with, besides its body: its head, its handler, and a stream of HTTP/2.
const REQUEST_BYTES: usize = 4 << 10;
/// Maximum number of open requests of an HTTP/2 connection.
const MAX_STREAMS: u32 = 100;
/// Flow-control windows of HTTP/2 in bytes: what a connection buffers before a handler reads it.
const WINDOW_BYTES: u32 = 65_535;
/// Maximum number of bytes of responses that an HTTP/2 stream buffers.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Delay after which a refused client tries again, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Serves connections of `listener` until `shutdown` is cancelled and the open requests have ended. The limits on clients are
/// those of a machine of which nothing is known.
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
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let budget = ClientBudget::new(ClientLimits::default());
    serve_within(listener, options, (budget, Share::Callers), shutdown, handler).await
}

/// Serves connections of `listener` within a share of a budget until `shutdown` is cancelled and the open requests have ended.
///
/// Returns whether all open requests ended within the grace time.
pub async fn serve_within<H, F, B>(
    listener: TcpListener,
    options: ServerOptions,
    (budget, share): (ClientBudget, Share),
    shutdown: CancellationToken,
    handler: H,
) -> bool
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let builder = builder(options);
    let graceful = GracefulShutdown::new();
    let mut sweeps = tokio::time::interval(SWEEP_INTERVAL);
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = sweeps.tick() => {
                budget.sweep();
                continue;
            }
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
        let ticket = budget.admit(share);
        // A connection that was closed for this one gives back its descriptor before the next one is accepted.
        tokio::task::yield_now().await;
        let Some(ticket) = ticket else { continue };
        let _ = stream.set_nodelay(true);
        let service = service_fn({
            let (handler, ticket) = (handler.clone(), ticket.clone());
            move |req| respond(handler.clone(), req, peer, ticket.begin_request())
        });
        let io = TokioIo::new(TrackedIo::new(stream, ticket.clone()));
        let connection = graceful.watch(builder.serve_connection(io, service).into_owned());
        tokio::spawn(async move {
            tokio::select! {
                result = connection => {
                    if let Err(error) = result {
                        log::debug!("connection from {peer} failed: {error}");
                    }
                }
                () = ticket.closed() => log::debug!("connection from {peer} was given up"),
            }
        });
    }
    drop(listener);
    let closing = graceful.shutdown();
    tokio::pin!(closing);
    let deadline = tokio::time::sleep(options.grace);
    tokio::pin!(deadline);
    loop {
        tokio::select! {
            () = &mut closing => return true,
            () = &mut deadline => return false,
            _ = sweeps.tick() => budget.sweep(),
        }
    }
}

fn builder(options: ServerOptions) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(options.head_timeout)
        .max_buf_size(HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_header_list_size(HEAD_BYTES as u32)
        .max_send_buf_size(SEND_BUFFER_BYTES);
    builder
}

/// Handles a request, or refuses it if there is no memory for it.
async fn respond<H, F, B>(
    handler: H,
    mut req: Request<Incoming>,
    peer: SocketAddr,
    scope: RequestScope,
) -> Result<Response<Either<TrackedBody<B>, Full<Bytes>>>, Infallible>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F,
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes>,
{
    let Some(reservation) = scope.reserve(REQUEST_BYTES) else {
        return Ok(refusal().map(Either::Right));
    };
    req.extensions_mut().insert(scope.clone());
    let response = handler(req, peer).await;
    drop(reservation);
    Ok(response.map(|body| Either::Left(TrackedBody::new(body, scope))))
}

/// Returns the response to a request for which there is no memory.
pub fn refusal() -> Response<Full<Bytes>> {
    let mut response = text_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "there is no memory for the request at present",
    );
    let retry_after = HeaderValue::from(RETRY_AFTER_S);
    response.headers_mut().insert(header::RETRY_AFTER, retry_after);
    response
}
