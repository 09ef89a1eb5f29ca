//! The targets' interface: announcements and leaves.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use kqr_directory::Input;
use kqr_http::{BodyLimits, empty_reply, json_reply, read_json, text_reply};
use kqr_placement::Announcement;
use kqr_types::TargetId;
use kqr_wire::targets::AnnouncedBody;

use crate::entry::Entry;

/// Limits of an announcement.
const LIMITS: BodyLimits = BodyLimits {
    bytes: 64 << 10,
    time: Duration::from_secs(5),
};

/// Answers one request of a target.
pub async fn handle(entry: Arc<Entry>, req: Request<Incoming>, _peer: SocketAddr) -> Response<Full<Bytes>> {
    let path = req.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').filter(|segment| !segment.is_empty()).collect();
    match (req.method(), segments.as_slice()) {
        (&Method::POST, ["v1", "targets"]) => announced(&entry, req).await,
        (&Method::DELETE, ["v1", "targets", id]) => leaving(&entry, id, req.uri().query()),
        _ => text_reply(
            StatusCode::NOT_FOUND,
            "expected POST /v1/targets or DELETE /v1/targets/{id}",
        ),
    }
}

async fn announced(entry: &Entry, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let mut announcement: Announcement = match read_json(req.into_body(), LIMITS).await {
        Ok(announcement) => announcement,
        Err(error) => return text_reply(StatusCode::BAD_REQUEST, error.to_string()),
    };
    if announcement.slots.0 == 0 {
        return text_reply(StatusCode::BAD_REQUEST, "slots: expected at least 1");
    }
    // A target that took another name keeps its identity, and with it its running work.
    announcement.id = entry.settings.current().target_id(&announcement.id);
    entry.registry.handle(Input::Announced(announcement));
    let renew_within_ms = kqr_directory::MAX_RENEWAL_INTERVAL.as_millis() as u64;
    json_reply(
        StatusCode::OK,
        "application/json",
        &AnnouncedBody { renew_within_ms },
    )
}

fn leaving(entry: &Entry, id: &str, query: Option<&str>) -> Response<Full<Bytes>> {
    let id: TargetId = match id.parse() {
        Ok(id) => id,
        Err(error) => return text_reply(StatusCode::BAD_REQUEST, format!("{error}")),
    };
    let incarnation = match query.map(|query| query.strip_prefix("incarnation=").unwrap_or(query).parse()) {
        None => None,
        Some(Ok(incarnation)) => Some(incarnation),
        Some(Err(error)) => return text_reply(StatusCode::BAD_REQUEST, format!("{error}")),
    };
    let id = entry.settings.current().target_id(&id);
    entry.registry.handle(Input::Leaving { id, incarnation });
    empty_reply(StatusCode::NO_CONTENT)
}
