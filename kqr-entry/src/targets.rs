//! HTTP interface for targets: announcements and departures.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use kqr_directory::Input;
use kqr_http::{BodyLimits, empty_response, json_response, read_json, text_response};
use kqr_placement::Announcement;
use kqr_types::TargetId;
use kqr_wire::targets::AnnouncedBody;

use crate::entry::Entry;

/// Limits of the body of an announcement.
const ANNOUNCEMENT_LIMITS: BodyLimits = BodyLimits {
    max_bytes: 64 << 10,
    timeout: Duration::from_secs(5),
};

/// Handles one request of a target.
pub async fn handle(entry: Arc<Entry>, req: Request<Incoming>, _peer: SocketAddr) -> Response<Full<Bytes>> {
    let path = req.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').filter(|segment| !segment.is_empty()).collect();
    match (req.method(), segments.as_slice()) {
        (&Method::POST, ["v1", "targets"]) => announce(&entry, req).await,
        (&Method::DELETE, ["v1", "targets", id]) => leave(&entry, id, req.uri().query()),
        _ => text_response(
            StatusCode::NOT_FOUND,
            "expected POST /v1/targets or DELETE /v1/targets/{id}",
        ),
    }
}

async fn announce(entry: &Entry, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let mut announcement: Announcement = match read_json(req.into_body(), ANNOUNCEMENT_LIMITS).await {
        Ok(announcement) => announcement,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    if announcement.slots.0 == 0 {
        return text_response(StatusCode::BAD_REQUEST, "slots: expected at least 1");
    }
    // A renamed target keeps its identity, and with it its running work.
    announcement.id = entry.settings.current().target_id(&announcement.id);
    entry.registry.handle(Input::Announced(announcement));
    let renew_within_ms = kqr_directory::MAX_RENEWAL_INTERVAL.as_millis() as u64;
    json_response(
        StatusCode::OK,
        "application/json",
        &AnnouncedBody { renew_within_ms },
    )
}

fn leave(entry: &Entry, id: &str, query: Option<&str>) -> Response<Full<Bytes>> {
    let id: TargetId = match id.parse() {
        Ok(id) => id,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, format!("{error}")),
    };
    let incarnation = match query.map(|query| query.strip_prefix("incarnation=").unwrap_or(query).parse()) {
        None => None,
        Some(Ok(incarnation)) => Some(incarnation),
        Some(Err(error)) => return text_response(StatusCode::BAD_REQUEST, format!("{error}")),
    };
    let id = entry.settings.current().target_id(&id);
    entry.registry.handle(Input::Leaving { id, incarnation });
    empty_response(StatusCode::NO_CONTENT)
}
