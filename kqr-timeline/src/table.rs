use std::fmt::Write;

use kqr_telemetry::Event;

use crate::Timeline;

/// Formats the time line as a table: milliseconds since the first event, process, kind, and what it concerns.
pub fn to_table(timeline: &Timeline) -> String {
    let mut text = String::new();
    for warning in timeline.warnings() {
        let _ = writeln!(text, "# {warning}");
    }
    let first = timeline.events.iter().map(Event::placed_us).min().unwrap_or(0);
    let width = timeline
        .instances()
        .iter()
        .map(|id| id.as_str().len())
        .max()
        .unwrap_or(0);
    for event in &timeline.events {
        let millis = (event.placed_us() - first) as f64 / 1000.0;
        let line = format!(
            "{millis:>12.3}  {:<width$}  {:<18}  {}",
            event.instance.as_str(),
            event.kind,
            concerns(event)
        );
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}

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
