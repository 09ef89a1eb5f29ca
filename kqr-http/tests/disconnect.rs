//! A handler that yields to its connection is dropped if the client has closed the connection by then.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use kqr_http::{BodyLimits, ServerOptions, read_body, serve, yield_to_connection};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nhost: a.example\r\ncontent-length: 4\r\n\r\nbody";
const LIMITS: BodyLimits = BodyLimits {
    max_bytes: 1024,
    timeout: Duration::from_secs(5),
};
/// Maximum time to wait for any step of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which a handler passes the check if it is not dropped.
const HANDLING_TIME: Duration = Duration::from_millis(200);

/// Counts of a server's requests.
#[derive(Debug, Default)]
struct Counts {
    begun: AtomicUsize,
    passed: AtomicUsize,
}

impl Counts {
    fn get(&self) -> (usize, usize) {
        (
            self.begun.load(Ordering::Relaxed),
            self.passed.load(Ordering::Relaxed),
        )
    }
}

/// Waits until `count` requests are counted.
async fn wait_for(counter: &AtomicUsize, count: usize) {
    let reached = async {
        while counter.load(Ordering::Relaxed) < count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, reached).await.unwrap();
}

/// Connections that clients close as soon as the server handles a request.
type ClosedByHandler = Arc<Mutex<Vec<TcpStream>>>;

async fn handle(
    req: Request<Incoming>,
    counts: Arc<Counts>,
    closed_by_handler: ClosedByHandler,
) -> Response<Full<Bytes>> {
    counts.begun.fetch_add(1, Ordering::Relaxed);
    closed_by_handler.lock().unwrap().clear();
    read_body(req.into_body(), LIMITS).await.unwrap();
    yield_to_connection().await;
    counts.passed.fetch_add(1, Ordering::Relaxed);
    Response::new(Full::default())
}

async fn start_server(closed_by_handler: &ClosedByHandler) -> (SocketAddr, Arc<Counts>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counts = Arc::new(Counts::default());
    let (served, closed) = (Arc::clone(&counts), Arc::clone(closed_by_handler));
    let handler = move |req, _| handle(req, Arc::clone(&served), Arc::clone(&closed));
    let shutdown = CancellationToken::new();
    tokio::spawn(serve(listener, ServerOptions::default(), shutdown, handler));
    (address, counts)
}

/// Connects with a blocking client, whose calls stop the server's thread.
fn send_request(address: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(address).unwrap();
    client.write_all(REQUEST).unwrap();
    client
}

#[tokio::test]
async fn a_request_whose_client_closed_before_it_was_read_is_dropped() {
    let (address, counts) = start_server(&ClosedByHandler::default()).await;
    for _ in 0..50 {
        drop(send_request(address));
    }
    tokio::time::sleep(HANDLING_TIME).await;
    let (_, passed) = counts.get();
    assert_eq!(passed, 0, "handlers that went on without a client");
}

#[tokio::test]
async fn a_request_whose_client_closes_while_it_is_read_is_dropped() {
    let closed_by_handler = ClosedByHandler::default();
    let (address, counts) = start_server(&closed_by_handler).await;
    // Connected and known to the server before the request is sent.
    let mut clients = Vec::new();
    for _ in 0..10 {
        clients.push(TcpStream::connect(address).unwrap());
    }
    tokio::time::sleep(HANDLING_TIME).await;
    for (number, mut client) in clients.into_iter().enumerate() {
        client.write_all(REQUEST).unwrap();
        closed_by_handler.lock().unwrap().push(client);
        wait_for(&counts.begun, number + 1).await;
    }
    tokio::time::sleep(HANDLING_TIME).await;
    assert_eq!(
        counts.get(),
        (10, 0),
        "handlers begun, and gone on without a client"
    );
}

#[tokio::test]
async fn a_request_whose_client_waits_is_handled() {
    let (address, counts) = start_server(&ClosedByHandler::default()).await;
    let clients: Vec<TcpStream> = (0..10).map(|_| send_request(address)).collect();
    wait_for(&counts.passed, 10).await;
    assert_eq!(counts.get(), (10, 10));
    for client in clients {
        client.shutdown(Shutdown::Both).unwrap();
    }
}
