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

/// Largest body that is held in memory so that the request can be sent again, in bytes.
const MAX_HELD_BYTES: u64 = 64 << 10;
/// Header fields that belong to one connection and are not passed on.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::HOST,
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Time for reading a small body, beyond which the caller is refused.
const HOLD_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Body of a request on its way to a target.
pub type CallBody = Either<Full<Bytes>, Incoming>;

/// A request that is to be relayed.
#[derive(Debug)]
pub struct Call {
    /// Service that serves it.
    pub service: ServiceName,
    /// Time that the caller is willing to wait.
    pub deadline: std::time::Duration,
    /// Whether it may be sent again after its first byte may have left.
    pub is_idempotent: bool,
    method: Method,
    path_and_query: String,
    fields: HeaderMap,
    body: Held,
}

/// Body of a call: in memory, or a stream that can be sent once.
#[derive(Debug)]
enum Held {
    Whole(Bytes),
    Stream(Option<Incoming>),
}

impl Call {
    /// Parses a request to `rest`, which is the service and the path behind it.
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
        let idempotent: Option<bool> = jobs::parse_field(&parts.headers, headers::IDEMPOTENT)?;
        let is_idempotent = idempotent.unwrap_or_else(|| is_idempotent_method(&parts.method));
        let path_and_query = match parts.uri.query() {
            Some(query) => format!("/{path}?{query}"),
            None => format!("/{path}"),
        };
        let body = hold(body).await?;
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

    /// Returns whether the request can be sent again.
    pub fn is_repeatable(&self) -> bool {
        matches!(self.body, Held::Whole(_))
    }

    /// Builds the request for the target at `address`. `remaining` is what is left of the deadline.
    pub fn request(
        &mut self,
        address: std::net::SocketAddr,
        remaining: std::time::Duration,
    ) -> Result<Request<CallBody>, Problem> {
        let uri: Uri = format!("http://{address}{}", self.path_and_query)
            .parse()
            .map_err(|_| Problem::bad_request("path", "the path is not a valid URI"))?;
        let body = match &mut self.body {
            Held::Whole(bytes) => Either::Left(Full::new(bytes.clone())),
            Held::Stream(stream) => match stream.take() {
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

/// Takes a small body into memory and leaves a large one a stream.
async fn hold(body: Incoming) -> Result<Held, Problem> {
    let is_small = body
        .size_hint()
        .upper()
        .is_some_and(|upper| upper <= MAX_HELD_BYTES);
    if !is_small {
        return Ok(Held::Stream(Some(body)));
    }
    let limits = BodyLimits {
        bytes: MAX_HELD_BYTES as usize,
        time: HOLD_TIMEOUT,
    };
    Ok(Held::Whole(read_body(body, limits).await?))
}

fn is_idempotent_method(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS | Method::TRACE
    )
}
