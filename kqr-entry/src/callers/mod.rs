//! HTTP interface for callers.

mod jobs;
mod problem;
mod relay;

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use kqr_http::text_response;
use kqr_telemetry::GaugeMetric;

use self::problem::Problem;
pub use self::relay::{Relay, RelayBody};
use crate::entry::Entry;

/// Body of a reply to a caller: built by the entry, or relayed from a target.
pub type ReplyBody = Either<Full<Bytes>, RelayBody>;

/// Handles one request of a caller.
pub async fn handle(entry: Arc<Entry>, req: Request<Incoming>, _peer: SocketAddr) -> Response<ReplyBody> {
    let path = req.uri().path().to_owned();
    let method = req.method().clone();
    if let Some(rest) = path.strip_prefix("/v1/services/") {
        return match relay::relay(&entry, rest, req).await {
            Ok(reply) => reply,
            Err(problem) => problem.into_reply().map(Either::Left),
        };
    }
    let reply = match (&method, path.as_str()) {
        (&Method::POST, "/v1/jobs") => jobs::submit(&entry, req).await,
        (&Method::GET, "/healthz") => Ok(text_response(StatusCode::OK, "ok")),
        (&Method::GET, "/readyz") => Ok(readiness(&entry)),
        (&Method::GET, "/metrics") => Ok(metrics(&entry)),
        _ => match (&method, path.strip_prefix("/v1/jobs/")) {
            (&Method::GET, Some(key)) => jobs::lookup(&entry, key).await,
            (&Method::DELETE, Some(key)) => jobs::cancel(&entry, key).await,
            _ => Err(Problem::not_found(
                "path",
                "expected /v1/jobs, /v1/jobs/{key} or /v1/services/{service}/{path}",
            )),
        },
    };
    reply.unwrap_or_else(Problem::into_reply).map(Either::Left)
}

fn readiness(entry: &Entry) -> Response<Full<Bytes>> {
    if entry.shutdown.is_cancelled() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "shutting down");
    }
    if !entry.engine.is_ready() {
        return text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the cell of the data centre has not admitted this entry",
        );
    }
    text_response(StatusCode::OK, "ready")
}

fn metrics(entry: &Entry) -> Response<Full<Bytes>> {
    entry.engine.update_gauges();
    let version = entry.settings.current().version;
    entry.engine.metrics.set_gauge(
        GaugeMetric::SettingsVersion,
        version.map_or(0, |version| version.0),
    );
    match entry.engine.metrics.encode_text() {
        Ok(text) => text_response(StatusCode::OK, text),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
