//! HTTP/2 with prior knowledge: streams of one connection are served concurrently, and a shutdown aborts none of them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use kqr_http::{ServerOptions, serve};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinHandle,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Maximum time to wait for any step of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of a response body: many times the window of a stream.
const RESPONSE_BYTES: usize = 1 << 20;
/// Flow-control window of a stream: the initial value of the protocol.
const STREAM_WINDOW_BYTES: u32 = 65_535;
/// Flow-control window of a connection: large enough that an unread stream does not block another.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

/// A server whose handlers signal their start and wait for a permit to respond.
struct Server {
    address: SocketAddr,
    shutdown: CancellationToken,
    served: JoinHandle<bool>,
    started_handlers: Arc<Semaphore>,
    permits_to_respond: Arc<Semaphore>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shutdown = CancellationToken::new();
        let (started_handlers, permits_to_respond) =
            (Arc::new(Semaphore::new(0)), Arc::new(Semaphore::new(0)));
        let semaphores = (Arc::clone(&started_handlers), Arc::clone(&permits_to_respond));
        let handler = move |req: Request<Incoming>, _| respond(req, semaphores.clone());
        let options = ServerOptions {
            grace: STEP_TIMEOUT,
            ..ServerOptions::default()
        };
        let served = tokio::spawn(serve(listener, options, shutdown.clone(), handler));
        Self {
            address,
            shutdown,
            served,
            started_handlers,
            permits_to_respond,
        }
    }

    /// Waits until the handlers of `requests` requests have started.
    async fn wait_for_handlers(&self, requests: u32) {
        let permits = timeout(STEP_TIMEOUT, self.started_handlers.acquire_many(requests)).await;
        permits.expect("all requests arrive").unwrap().forget();
    }

    /// Starts the shutdown and waits until connections are refused.
    async fn begin_shutdown(&self) {
        self.shutdown.cancel();
        let refused = async {
            while TcpStream::connect(self.address).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(STEP_TIMEOUT, refused).await.expect("the listener closes");
    }

    /// Waits for the server to end and returns whether all requests had ended by then.
    async fn close(self) -> bool {
        timeout(STEP_TIMEOUT, self.served)
            .await
            .expect("the server ends")
            .unwrap()
    }
}

async fn respond(
    req: Request<Incoming>,
    (started_handlers, permits_to_respond): (Arc<Semaphore>, Arc<Semaphore>),
) -> Response<Full<Bytes>> {
    started_handlers.add_permits(1);
    permits_to_respond.acquire().await.unwrap().forget();
    Response::new(Full::new(body_of(req.uri().path())))
}

/// Returns the response body for `path`, which differs between paths in every part.
fn body_of(path: &str) -> Bytes {
    path.bytes().cycle().take(RESPONSE_BYTES).collect()
}

async fn connect(address: SocketAddr) -> (SendRequest<Empty<Bytes>>, JoinHandle<hyper::Result<()>>) {
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .unwrap();
    (sender, tokio::spawn(connection))
}

/// Starts sending a request and returns a handle to its response.
fn send(
    sender: &SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    path: &str,
) -> JoinHandle<hyper::Result<Response<Incoming>>> {
    let uri = format!("http://{address}{path}");
    let req = Request::get(uri).body(Empty::new()).unwrap();
    let mut sender = sender.clone();
    tokio::spawn(async move { sender.send_request(req).await })
}

async fn receive_head(pending: JoinHandle<hyper::Result<Response<Incoming>>>) -> Response<Incoming> {
    let response = timeout(STEP_TIMEOUT, pending).await.expect("a response").unwrap();
    let response = response.expect("not aborted");
    assert_eq!(response.status(), StatusCode::OK);
    response
}

async fn assert_whole(response: Response<Incoming>, path: &str) {
    let body = timeout(STEP_TIMEOUT, response.into_body().collect())
        .await
        .expect("a complete response");
    let body = body.expect("not aborted").to_bytes();
    assert!(body == body_of(path), "{path}: {} bytes", body.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_connection_are_served_concurrently() {
    let server = Server::start().await;
    let (sender, connection) = connect(server.address).await;
    let (first, second) = (
        send(&sender, server.address, "/first"),
        send(&sender, server.address, "/second"),
    );
    server.wait_for_handlers(2).await;
    server.permits_to_respond.add_permits(2);
    let (first, second) = (receive_head(first).await, receive_head(second).await);
    tokio::join!(assert_whole(first, "/first"), assert_whole(second, "/second"));
    drop(sender);
    timeout(STEP_TIMEOUT, connection).await.unwrap().unwrap().unwrap();
    server.begin_shutdown().await;
    assert!(server.close().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_waits_for_running_handlers() {
    let server = Server::start().await;
    let (sender, connection) = connect(server.address).await;
    let (first, second) = (
        send(&sender, server.address, "/first"),
        send(&sender, server.address, "/second"),
    );
    server.wait_for_handlers(2).await;
    server.begin_shutdown().await;
    server.permits_to_respond.add_permits(1);
    assert!(!server.served.is_finished(), "a stream is open");
    server.permits_to_respond.add_permits(1);
    let (first, second) = (receive_head(first).await, receive_head(second).await);
    assert!(!server.served.is_finished(), "responses are still in transfer");
    tokio::join!(assert_whole(first, "/first"), assert_whole(second, "/second"));
    assert!(server.close().await, "both ended within the grace time");
    timeout(STEP_TIMEOUT, connection).await.unwrap().unwrap().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_waits_for_responses_in_transfer() {
    let server = Server::start().await;
    let (sender, connection) = connect(server.address).await;
    let (first, second) = (
        send(&sender, server.address, "/first"),
        send(&sender, server.address, "/second"),
    );
    server.permits_to_respond.add_permits(2);
    let (first, second) = (receive_head(first).await, receive_head(second).await);
    server.begin_shutdown().await;
    assert!(!server.served.is_finished(), "responses are still in transfer");
    assert_whole(second, "/second").await;
    assert_whole(first, "/first").await;
    assert!(server.close().await, "both ended within the grace time");
    timeout(STEP_TIMEOUT, connection).await.unwrap().unwrap().unwrap();
}
