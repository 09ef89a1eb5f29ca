use kqr_telemetry::Event;

/// Returns what an event concerns, as `name=value` pairs.
pub fn concerns(event: &Event) -> String {
    let mut parts = Vec::new();
    let mut add = |name: &str, value: Option<String>| {
        if let Some(value) = value {
            parts.push(format!("{name}={value}"));
        }
    };
    add("key", event.key.as_ref().map(ToString::to_string));
    add("attempt", event.attempt.as_ref().map(ToString::to_string));
    add("target", event.target.as_ref().map(ToString::to_string));
    add("peer", event.peer.as_ref().map(ToString::to_string));
    add("detail", event.detail.clone());
    parts.join(" ")
}
