//! HTTP/2 with prior knowledge: streams of one connection are served at once, and a shutdown cuts none of them off.

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

/// Longest time for anything that a test waits for.
const LIMIT: Duration = Duration::from_secs(20);
/// Length of an answer: many times the window of a stream.
const ANSWER_BYTES: usize = 1 << 20;
/// Window of a stream: the least that the protocol begins with.
const WINDOW_BYTES: u32 = 65_535;
/// Window of a connection: an unread stream does not hold up another.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

/// A server whose handlers tell of their begin and wait to be let on.
struct Server {
    address: SocketAddr,
    shutdown: CancellationToken,
    served: JoinHandle<bool>,
    arrived: Arc<Semaphore>,
    go: Arc<Semaphore>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shutdown = CancellationToken::new();
        let (arrived, go) = (Arc::new(Semaphore::new(0)), Arc::new(Semaphore::new(0)));
        let gates = (Arc::clone(&arrived), Arc::clone(&go));
        let handler = move |req: Request<Incoming>, _| answer(req, gates.clone());
        let options = ServerOptions {
            grace: LIMIT,
            ..ServerOptions::default()
        };
        let served = tokio::spawn(serve(listener, options, shutdown.clone(), handler));
        Self {
            address,
            shutdown,
            served,
            arrived,
            go,
        }
    }

    /// Waits until `requests` are in their handlers at once.
    async fn wait_for(&self, requests: u32) {
        let permits = timeout(LIMIT, self.arrived.acquire_many(requests)).await;
        permits.expect("all requests arrive").unwrap().forget();
    }

    /// Begins the shutdown and waits until no connection is accepted any more.
    async fn begin_shutdown(&self) {
        self.shutdown.cancel();
        let refused = async {
            while TcpStream::connect(self.address).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(LIMIT, refused).await.expect("the listener closes");
    }

    /// Returns whether all exchanges had ended when the server did.
    async fn close(self) -> bool {
        timeout(LIMIT, self.served)
            .await
            .expect("the server ends")
            .unwrap()
    }
}

async fn answer(
    req: Request<Incoming>,
    (arrived, go): (Arc<Semaphore>, Arc<Semaphore>),
) -> Response<Full<Bytes>> {
    arrived.add_permits(1);
    go.acquire().await.unwrap().forget();
    Response::new(Full::new(content(req.uri().path())))
}

/// Returns the answer for `path`, which differs from that for any other path in each part.
fn content(path: &str) -> Bytes {
    path.bytes().cycle().take(ANSWER_BYTES).collect()
}

async fn connect(address: SocketAddr) -> (SendRequest<Empty<Bytes>>, JoinHandle<hyper::Result<()>>) {
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .unwrap();
    (sender, tokio::spawn(connection))
}

/// Sends a request at once; the answer's head comes later.
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

async fn head(exchange: JoinHandle<hyper::Result<Response<Incoming>>>) -> Response<Incoming> {
    let reply = timeout(LIMIT, exchange).await.expect("an answer").unwrap();
    let reply = reply.expect("not cut off");
    assert_eq!(reply.status(), StatusCode::OK);
    reply
}

async fn assert_whole(reply: Response<Incoming>, path: &str) {
    let body = timeout(LIMIT, reply.into_body().collect())
        .await
        .expect("a whole answer");
    let body = body.expect("not cut off").to_bytes();
    assert!(body == content(path), "{path}: {} bytes", body.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn two_streams_of_a_connection_are_served_at_once() {
    let server = Server::start().await;
    let (sender, connection) = connect(server.address).await;
    let (first, second) = (
        send(&sender, server.address, "/first"),
        send(&sender, server.address, "/second"),
    );
    server.wait_for(2).await;
    server.go.add_permits(2);
    let (first, second) = (head(first).await, head(second).await);
    tokio::join!(assert_whole(first, "/first"), assert_whole(second, "/second"));
    drop(sender);
    timeout(LIMIT, connection).await.unwrap().unwrap().unwrap();
    server.begin_shutdown().await;
    assert!(server.close().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_waits_for_streams_whose_handlers_work() {
    let server = Server::start().await;
    let (sender, connection) = connect(server.address).await;
    let (first, second) = (
        send(&sender, server.address, "/first"),
        send(&sender, server.address, "/second"),
    );
    server.wait_for(2).await;
    server.begin_shutdown().await;
    server.go.add_permits(1);
    assert!(!server.served.is_finished(), "a stream is open");
    server.go.add_permits(1);
    let (first, second) = (head(first).await, head(second).await);
    assert!(!server.served.is_finished(), "answers are under way");
    tokio::join!(assert_whole(first, "/first"), assert_whole(second, "/second"));
    assert!(server.close().await, "both ended within the grace time");
    timeout(LIMIT, connection).await.unwrap().unwrap().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_waits_for_answers_that_are_under_way() {
    let server = Server::start().await;
    let (sender, connection) = connect(server.address).await;
    let (first, second) = (
        send(&sender, server.address, "/first"),
        send(&sender, server.address, "/second"),
    );
    server.go.add_permits(2);
    let (first, second) = (head(first).await, head(second).await);
    server.begin_shutdown().await;
    assert!(!server.served.is_finished(), "answers are under way");
    assert_whole(second, "/second").await;
    assert_whole(first, "/first").await;
    assert!(server.close().await, "both ended within the grace time");
    timeout(LIMIT, connection).await.unwrap().unwrap().unwrap();
}
