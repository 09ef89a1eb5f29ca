use std::{fmt, pin::pin, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Body, header};
use serde::{Serialize, de::DeserializeOwned};

use crate::{RequestScope, Reservation};

/// Limits of a body that is read into memory.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size of the body in bytes.
    pub max_bytes: usize,
    /// Maximum time until the whole body has arrived.
    pub timeout: Duration,
}

/// Error returned when a body can't be read.
#[derive(Debug)]
pub enum BodyError {
    /// The body exceeds the contained limit in bytes.
    TooLarge(usize),
    /// The body did not arrive within the contained time limit.
    TimedOut(Duration),
    /// The connection failed before the end of the body.
    Incomplete(String),
    /// The body is not JSON of the expected type.
    Malformed(String),
    /// There is no memory for the body.
    NoMemory,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(limit) => write!(f, "the body is larger than {limit} bytes"),
            Self::TimedOut(limit) => write!(f, "the body did not arrive within {limit:?}"),
            Self::Incomplete(cause) => write!(f, "the body ended early: {cause}"),
            Self::Malformed(cause) => write!(f, "the body is not the expected JSON: {cause}"),
            Self::NoMemory => f.write_str("there is no memory for the body at present"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Capacity that is allocated for the first bytes of a body.
const FIRST_CAPACITY: usize = 4 << 10;
/// Maximum number of bytes beyond the limit that are read and discarded, so that a sender that is still transmitting
/// receives the error response instead of a connection reset.
const MAX_DRAINED_BYTES: usize = 64 << 20;

/// Reads a whole body into memory.
///
/// # Errors
///
/// Fails if the body exceeds a limit or ends early.
pub async fn read_body<B>(body: B, limits: BodyLimits) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let reading = collect(body, limits.max_bytes, |_| true);
    match tokio::time::timeout(limits.timeout, reading).await {
        Ok(result) => result,
        Err(_) => Err(BodyError::TimedOut(limits.timeout)),
    }
}

/// Reads the whole body of `req` into memory, which counts against the share of its connection. The reservation is held while
/// the body or what was decoded from it is in use.
///
/// # Errors
///
/// Fails if the body exceeds a limit, ends early, or there is no memory for it.
pub async fn read_request_body<B>(
    req: Request<B>,
    limits: BodyLimits,
) -> Result<(Bytes, Option<Reservation>), BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let Some(scope) = req.extensions().get::<RequestScope>().cloned() else {
        return Ok((read_body(req.into_body(), limits).await?, None));
    };
    let mut reservation = scope.reserve(0).ok_or(BodyError::NoMemory)?;
    let unread = scope.begin_body();
    let reading = async {
        let reading = collect(req.into_body(), limits.max_bytes, |bytes| reservation.grow(bytes));
        tokio::select! {
            biased;
            () = unread.stopped() => Err(BodyError::NoMemory),
            result = reading => result,
        }
    };
    let result = match tokio::time::timeout(limits.timeout, reading).await {
        Ok(result) => result,
        Err(_) => Err(BodyError::TimedOut(limits.timeout)),
    };
    drop(unread);
    Ok((result?, Some(reservation)))
}

/// Collects a body, for which `reserve` is asked before memory is allocated.
async fn collect<B, Reserve>(body: B, max_bytes: usize, mut reserve: Reserve) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    Reserve: FnMut(usize) -> bool,
{
    let mut body = pin!(body);
    let mut collected = Vec::new();
    let mut received = 0_usize;
    let mut has_memory = true;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Incomplete(error.into().to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        received = received.saturating_add(data.len());
        if received > max_bytes.saturating_add(MAX_DRAINED_BYTES) {
            break;
        }
        if received > max_bytes || !has_memory {
            collected = Vec::new();
            continue;
        }
        if received > collected.capacity() {
            // The length that a client declares is no reason to allocate.
            let doubled = (2 * collected.capacity()).max(FIRST_CAPACITY).min(max_bytes);
            let capacity = doubled.max(received);
            if !reserve(capacity - collected.capacity()) {
                has_memory = false;
                collected = Vec::new();
                continue;
            }
            collected.reserve_exact(capacity - collected.len());
        }
        collected.extend_from_slice(&data);
    }
    if received > max_bytes {
        return Err(BodyError::TooLarge(max_bytes));
    }
    if !has_memory {
        return Err(BodyError::NoMemory);
    }
    Ok(Bytes::from(collected))
}

/// Reads a JSON body.
///
/// # Errors
///
/// Fails if the body exceeds a limit, ends early, or is not the JSON form of a `T`.
pub async fn read_json<T, B>(body: B, limits: BodyLimits) -> Result<T, BodyError>
where
    T: DeserializeOwned,
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let bytes = read_body(body, limits).await?;
    serde_json::from_slice(&bytes).map_err(|cause| BodyError::Malformed(cause.to_string()))
}

/// Builds a response with a JSON body.
pub fn json_response<T>(status: StatusCode, content_type: &'static str, body: &T) -> Response<Full<Bytes>>
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    response
}

/// Builds a response with a text body.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text.into())));
    *response.status_mut() = status;
    response
}

/// Builds a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    text_response(status, String::new())
}
