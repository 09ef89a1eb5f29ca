use std::{fmt, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode, Uri,
    body::{Body, Incoming},
    header,
};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::Serialize;

use crate::{BodyError, BodyLimits, read_body};

/// Options of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum size in bytes of a response body that is read into memory.
    pub max_response_bytes: usize,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(20),
            max_response_bytes: 16 << 20,
        }
    }
}

/// Error returned when a request fails.
#[derive(Debug)]
pub enum ClientError {
    /// No connection was opened; nothing was sent.
    NotSent(String),
    /// The peer refused the connection, as when no process listens; nothing was sent.
    Refused(String),
    /// The request may have been sent, but no complete response arrived.
    MaybeSent(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Refused(cause) => write!(f, "connection refused: {cause}"),
            Self::MaybeSent(cause) => write!(f, "maybe sent: {cause}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// An HTTP client with a connection pool. It never sends a request twice.
#[derive(Debug)]
pub struct Client<B = Full<Bytes>> {
    pool: Pool<HttpConnector, B>,
    options: ClientOptions,
}

impl<B> Clone for Client<B> {
    fn clone(&self) -> Self {
        Self {
            pool: self.pool.clone(),
            options: self.options,
        }
    }
}

impl<B> Client<B>
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Creates a client.
    pub fn new(options: ClientOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(options.connect_timeout));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(options.idle_timeout)
            .retry_canceled_requests(false)
            .build(connector);
        Self { pool, options }
    }

    /// Sends `req` once and returns the response, whose body is a stream.
    ///
    /// # Errors
    ///
    /// Fails if no connection was opened or no response arrived.
    pub async fn send(&self, req: Request<B>) -> Result<Response<Incoming>, ClientError> {
        self.pool.request(req).await.map_err(|error| {
            let cause = format_error_chain(&error);
            if is_refused(&error) {
                ClientError::Refused(cause)
            } else if error.is_connect() {
                ClientError::NotSent(cause)
            } else {
                ClientError::MaybeSent(cause)
            }
        })
    }
}

impl Client<Full<Bytes>> {
    /// Sends `body` as JSON once and reads the whole response within `limit`.
    ///
    /// # Errors
    ///
    /// Fails if no connection was opened or no complete response arrived in time.
    pub async fn send_json<T>(
        &self,
        method: Method,
        uri: Uri,
        body: Option<&T>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ClientError>
    where
        T: Serialize,
    {
        let bytes = match body {
            Some(body) => {
                serde_json::to_vec(body).map_err(|error| ClientError::NotSent(error.to_string()))?
            }
            None => Vec::new(),
        };
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|error| ClientError::NotSent(error.to_string()))?;
        self.send_and_read(req, limit).await
    }

    /// Sends `req` once and reads the whole response within `limit`.
    ///
    /// # Errors
    ///
    /// Fails if no connection was opened or no complete response arrived in time.
    pub async fn send_and_read(
        &self,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let exchange = async {
            let response = self.send(req).await?;
            let status = response.status();
            let limits = BodyLimits {
                max_bytes: self.options.max_response_bytes,
                timeout: limit,
            };
            let bytes = read_body(response.into_body(), limits).await;
            bytes
                .map(|bytes| (status, bytes))
                .map_err(|error: BodyError| ClientError::MaybeSent(error.to_string()))
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(ClientError::MaybeSent(format!("no answer within {limit:?}"))),
        }
    }
}

/// Returns whether the peer refused the connection.
fn is_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// Formats an error with the chain of its sources.
pub(crate) fn format_error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
