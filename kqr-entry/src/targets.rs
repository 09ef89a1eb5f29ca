//! The targets' interface: announcements and leaves.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use kqr_http::{BodyLimits, empty_reply, json_reply, read_json, text_reply};
use kqr_placement::Announcement;
use kqr_telemetry::EventKind;
use kqr_types::TargetId;
use kqr_wire::targets::AnnouncedBody;

use crate::entry::Entry;

/// Time within which a target must renew its announcement.
const RENEW_WITHIN: Duration = Duration::from_secs(3);
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
        (&Method::POST, ["v1", "targets"]) => {
            match read_json::<Announcement, _>(req.into_body(), LIMITS).await {
                Ok(announcement) => {
                    entry.spread_announcement(&announcement);
                    take_announcement(&entry, &announcement);
                    let renew_within_ms = RENEW_WITHIN.as_millis() as u64;
                    json_reply(
                        StatusCode::OK,
                        "application/json",
                        &AnnouncedBody { renew_within_ms },
                    )
                }
                Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
            }
        }
        (&Method::DELETE, ["v1", "targets", id]) => match id.parse::<TargetId>() {
            Ok(id) => {
                entry.spread_leave(&id);
                take_leave(&entry, &id);
                empty_reply(StatusCode::NO_CONTENT)
            }
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        },
        _ => text_reply(
            StatusCode::NOT_FOUND,
            "expected POST /v1/targets or DELETE /v1/targets/{id}",
        ),
    }
}

/// Takes in an announcement that arrived here or at a sibling.
pub fn take_announcement(entry: &Entry, announcement: &Announcement) {
    let id = announcement.id.clone();
    if !entry.engine.table.announce(announcement) {
        return;
    }
    let mut event = entry.engine.events.event(EventKind::TargetAnnounced);
    event.target = Some(id);
    entry.engine.events.record(event);
    entry.engine.dispatch();
}

/// Takes in the leave of a target that was announced here or at a sibling.
pub fn take_leave(entry: &Entry, id: &TargetId) {
    if !entry.engine.table.remove(id) {
        return;
    }
    let mut event = entry.engine.events.event(EventKind::TargetLeft);
    event.target = Some(id.clone());
    entry.engine.events.record(event);
}
