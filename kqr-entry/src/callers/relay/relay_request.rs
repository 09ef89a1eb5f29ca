use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::{
    HeaderMap, Method, Request, Uri,
    body::{Body, Incoming},
    header::{self, HeaderName, HeaderValue},
    http::request::Parts,
};
use kqr_http::{BodyLimits, read_body};
use kqr_types::ServiceName;
use kqr_wire::headers;

use crate::{
    callers::{jobs, problem::Problem},
    live_settings::SettingsSnapshot,
};

/// Largest body that is buffered, so that the request can be sent again.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;
/// Header fields that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::HOST,
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Longest time to read a body that is buffered; a slower caller is refused.
const BUFFER_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Body of a request to a target.
pub type TargetBody = Either<Full<Bytes>, Incoming>;

/// A request that is relayed to a runner.
#[derive(Debug)]
pub struct RelayRequest {
    /// Service that handles the request.
    pub service: ServiceName,
    /// Longest time that the caller waits for the answer.
    pub deadline: std::time::Duration,
    /// Whether the request may be sent again after a target may have received a part of it.
    pub is_idempotent: bool,
    method: Method,
    path_and_query: String,
    fields: HeaderMap,
    body: RequestBody,
}

/// Body of a relayed request.
#[derive(Debug)]
enum RequestBody {
    /// A body in memory, which can be sent any number of times.
    Buffered(Bytes),
    /// A stream, which can be sent once; `None` after that.
    Stream(Option<Incoming>),
}

impl RelayRequest {
    /// Parses a request to `rest`, which is the name of the service and the path at the target.
    ///
    /// # Errors
    ///
    /// Returns a problem if the service or a header field is invalid, or a small body can't be read.
    pub async fn parse(
        settings: &SettingsSnapshot,
        rest: &str,
        req: Request<Incoming>,
    ) -> Result<Self, Problem> {
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let service: ServiceName = service
            .parse()
            .map_err(|error: kqr_types::ParseError| Problem::bad_request("service", error.to_string()))?;
        let (parts, body) = req.into_parts();
        let deadline = jobs::parse_deadline(settings.service_rules(&service), &parts.headers)?;
        let idempotent: Option<bool> = jobs::parse_header(&parts.headers, headers::IDEMPOTENT)?;
        let is_idempotent = idempotent.unwrap_or_else(|| is_idempotent_method(&parts.method));
        let path_and_query = match parts.uri.query() {
            Some(query) => format!("/{path}?{query}"),
            None => format!("/{path}"),
        };
        let body = buffer_body(body).await?;
        let Parts {
            method,
            headers: mut fields,
            ..
        } = parts;
        for name in HOP_BY_HOP {
            fields.remove(name);
        }
        Ok(Self {
            service,
            deadline,
            is_idempotent,
            method,
            path_and_query,
            fields,
            body,
        })
    }

    /// Returns whether the body can be sent again.
    pub fn is_replayable(&self) -> bool {
        matches!(self.body, RequestBody::Buffered(_))
    }

    /// Builds the request to the target at `address`, with the `remaining` time until the deadline.
    ///
    /// # Errors
    ///
    /// Returns a problem if the path is invalid, or a streamed body was sent before.
    pub fn build(
        &mut self,
        address: std::net::SocketAddr,
        remaining: std::time::Duration,
    ) -> Result<Request<TargetBody>, Problem> {
        let uri: Uri = format!("http://{address}{}", self.path_and_query)
            .parse()
            .map_err(|_| Problem::bad_request("path", "the path is not a valid URI"))?;
        let body = match &mut self.body {
            RequestBody::Buffered(bytes) => Either::Left(Full::new(bytes.clone())),
            RequestBody::Stream(stream) => match stream.take() {
                Some(stream) => Either::Right(stream),
                None => {
                    return Err(Problem::unavailable(
                        "the body was streamed and can't be sent again",
                    ));
                }
            },
        };
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = uri;
        *req.headers_mut() = self.fields.clone();
        let millis = HeaderValue::from(remaining.as_millis() as u64);
        req.headers_mut().insert(headers::DEADLINE_MS, millis);
        Ok(req)
    }
}

/// Reads a small body into memory; a large one, or one of unknown length, stays a stream.
async fn buffer_body(body: Incoming) -> Result<RequestBody, Problem> {
    let is_small = body
        .size_hint()
        .upper()
        .is_some_and(|upper| upper <= MAX_BUFFERED_BYTES);
    if !is_small {
        return Ok(RequestBody::Stream(Some(body)));
    }
    let limits = BodyLimits {
        max_bytes: MAX_BUFFERED_BYTES as usize,
        timeout: BUFFER_TIMEOUT,
    };
    Ok(RequestBody::Buffered(read_body(body, limits).await?))
}

fn is_idempotent_method(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS | Method::TRACE
    )
}
