//! A server within a budget, and clients that take more than their share.

use std::{net::SocketAddr, time::Duration};

use hyper::{Request, StatusCode, body::Incoming};
use kqr_http::{
    BodyError, BodyLimits, ClientBudget, ClientLimits, MachineCapacity, ServerOptions, Service, Share,
    read_request_body, refusal, serve_within, text_response,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Maximum time to wait for any step of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const BODY_LIMITS: BodyLimits = BodyLimits {
    max_bytes: 1 << 20,
    timeout: STEP_TIMEOUT,
};

async fn handle(req: Request<Incoming>) -> hyper::Response<http_body_util::Full<bytes::Bytes>> {
    match read_request_body(req, BODY_LIMITS).await {
        Ok((body, reservation)) => {
            assert!(reservation.is_some());
            text_response(StatusCode::OK, body.len().to_string())
        }
        Err(BodyError::NoMemory) => refusal(),
        Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

async fn start(share: Share) -> (SocketAddr, ClientBudget) {
    let machine = MachineCapacity {
        memory_bytes: 32_000_000,
        descriptors: 128,
    };
    let budget = ClientBudget::new(ClientLimits::of(machine, Service::Callers));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let shutdown = CancellationToken::new();
    let serving = serve_within(
        listener,
        ServerOptions::default(),
        (budget.clone(), share),
        shutdown,
        |req, _| handle(req),
    );
    tokio::spawn(serving);
    (address, budget)
}

async fn connect(address: SocketAddr, sent: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(sent).await.unwrap();
    stream
}

/// Returns what the server sends until it closes the connection, or nothing if it resets it.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _ = timeout(STEP_TIMEOUT, reading).await.expect("the server closes");
    String::from_utf8(answer).unwrap()
}

/// Returns the answer to an ordinary request on a connection of its own.
async fn ordinary(address: SocketAddr) -> String {
    let request = b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody";
    let mut stream = connect(address, request).await;
    read_to_end(&mut stream).await
}

fn body_without_end(bytes: usize) -> Vec<u8> {
    let mut request = format!(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        bytes + 1
    )
    .into_bytes();
    request.resize(request.len() + bytes, b' ');
    request
}

/// Idle connections took all that a share has, so that no further client was served.
#[tokio::test]
async fn idle_connections_make_room_for_ordinary_requests() {
    let (address, budget) = start(Share::Callers).await;
    let limit = budget.limits().share(Share::Callers).connections;
    let mut idle = Vec::new();
    for _ in 0..2 * limit {
        idle.push(connect(address, b"").await);
    }
    assert!(ordinary(address).await.starts_with("HTTP/1.1 200"));
    assert!(budget.usage(Share::Callers).connections <= limit);
}

/// A client whose request was understood learns that it was not handled and when to retry.
#[tokio::test]
async fn the_oldest_unfinished_body_is_refused_when_memory_is_used_up() {
    let (address, budget) = start(Share::Callers).await;
    let limit = budget.limits().share(Share::Callers).held_bytes;
    let request = body_without_end(500_000);
    let mut clients = Vec::new();
    for _ in 0..2 * limit / 500_000 {
        clients.push(connect(address, &request).await);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(budget.usage(Share::Callers).held_bytes <= limit);
    let answer = read_to_end(&mut clients[0]).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    assert!(ordinary(address).await.starts_with("HTTP/1.1 200"));
}

/// Memory that is given back is counted once: the share is empty after all clients have left.
#[tokio::test]
async fn nothing_is_held_after_the_clients_have_left() {
    let (address, budget) = start(Share::Callers).await;
    let request = body_without_end(500_000);
    for _ in 0..3 {
        let mut clients = Vec::new();
        for number in 0..20 {
            let sent = if number % 3 == 0 { &request[..30] } else { &request };
            clients.push(connect(address, sent).await);
        }
        assert!(ordinary(address).await.starts_with("HTTP/1.1 200"));
        drop(clients);
        let emptied = async {
            while budget.usage(Share::Callers).connections > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(STEP_TIMEOUT, emptied).await.unwrap();
        assert_eq!(budget.usage(Share::Callers).held_bytes, 0);
    }
}

/// A head that does not end, also of empty lines, was kept up to 400 KB.
#[tokio::test]
async fn a_head_over_the_limit_is_refused() {
    let (address, _) = start(Share::Callers).await;
    for part in [b"\r\n".as_slice(), b"a: b\r\n"] {
        let mut stream = connect(address, b"").await;
        let sending = async {
            stream.write_all(b"GET / HTTP/1.1\r\n").await?;
            for _ in 0..100_000 / part.len() {
                stream.write_all(part).await?;
            }
            std::io::Result::Ok(())
        };
        let _ = timeout(STEP_TIMEOUT, sending).await.unwrap();
        read_to_end(&mut stream).await;
    }
}

/// The largest legal head must still be served.
#[tokio::test]
async fn a_head_of_the_largest_legal_size_is_served() {
    let (address, _) = start(Share::Callers).await;
    let start = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-long: ";
    let value = "v".repeat((16 << 10) - start.len() - 4);
    let mut stream = connect(address, format!("{start}{value}\r\n\r\n").as_bytes()).await;
    let answer = read_to_end(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Frames between requests of an HTTP/2 connection are no head, so that it is not closed as one that is late.
#[tokio::test]
async fn an_http2_connection_outlives_the_time_of_a_head() {
    let (address, budget) = start(Share::Callers).await;
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = hyper::client::conn::http2::handshake(
        hyper_util::rt::TokioExecutor::new(),
        hyper_util::rt::TokioIo::new(stream),
    )
    .await
    .unwrap();
    tokio::spawn(connection);
    for _ in 0..2 {
        let body = http_body_util::Full::new(bytes::Bytes::from_static(b"body"));
        let req = Request::post(format!("http://{address}/")).body(body).unwrap();
        let answer = timeout(STEP_TIMEOUT, sender.send_request(req)).await.unwrap();
        assert_eq!(answer.unwrap().status(), StatusCode::OK);
        tokio::time::sleep(budget.limits().head_time + Duration::from_millis(1_500)).await;
    }
}

/// A head that does not end takes a connection and memory.
#[tokio::test]
async fn a_connection_is_closed_when_its_head_is_late() {
    let (address, budget) = start(Share::Callers).await;
    let mut stream = connect(address, b"GET / HTTP/1.1\r\nhost: ").await;
    assert_eq!(read_to_end(&mut stream).await, "");
    let limited = budget.usage(Share::Callers).limited;
    assert_eq!(limited[kqr_http::LimitCause::HeadTime as usize], 1);
}
