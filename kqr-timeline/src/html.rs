use std::{collections::BTreeMap, fmt::Write};

use kqr_telemetry::{Event, EventKind};
use kqr_types::InstanceId;

use crate::{Timeline, concerns::concerns, scale::Scale};

/// Width of the lanes, in pixels.
const LANES: f64 = 1000.0;
/// Width of a name's character, in pixels, generously.
const CHARACTER: f64 = 8.0;
/// Width between the names and the lanes, in pixels: half of the first mark's label.
const GAP: f64 = 40.0;
/// Width right of the lanes, in pixels: half of the last mark's label.
const MARGIN: f64 = 40.0;
/// Height of a lane, in pixels.
const LANE: f64 = 36.0;
/// Height of the scale above the lanes, in pixels.
const SCALE: f64 = 28.0;
/// Most events that are drawn and listed; a filter shows the others.
pub const MAX_DRAWN_EVENTS: usize = 5000;

const STYLE: &str = "body{font:14px system-ui,sans-serif;margin:1.5em;color:#222}\
table{border-collapse:collapse;font-size:12px}td,th{padding:2px 8px;text-align:left;border-bottom:1px solid #e4e4e4}\
td:first-child{text-align:right;font-variant-numeric:tabular-nums}text{font:12px system-ui,sans-serif}\
.lane{stroke:#ccc}.mark{stroke:#eee}.way{stroke:#999;stroke-width:.7}.warning{color:#a00}.key span{margin-right:1em;white-space:nowrap}";

/// Formats the time line as one self-contained page with a lane for each process.
pub fn to_html(timeline: &Timeline) -> String {
    let shown = &timeline.events;
    let mut page = String::from("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    let _ = write!(
        page,
        "<title>Time line</title><style>{STYLE}</style></head><body>\n<h1>Time line</h1>\n"
    );
    for warning in timeline.findings.warnings() {
        let _ = writeln!(page, "<p class=\"warning\">{}</p>", escape(&warning));
    }
    let all = timeline.summary.matched;
    if (shown.len() as u64) < all {
        let _ = writeln!(
            page,
            "<p class=\"warning\">The first {} of {all} events are shown.</p>",
            shown.len()
        );
    }
    if shown.is_empty() {
        page.push_str("<p>No event matches.</p>\n");
    } else {
        Drawing::new(timeline, shown).write(&mut page);
        write_list(&mut page, shown);
    }
    page.push_str("</body></html>\n");
    page
}

/// The lanes of a time line.
struct Drawing<'a> {
    events: &'a [Event],
    lanes: BTreeMap<&'a InstanceId, usize>,
    /// Where the lanes begin, right of the names.
    left: f64,
    first: u64,
    span: u64,
}

impl<'a> Drawing<'a> {
    fn new(timeline: &'a Timeline, events: &'a [Event]) -> Self {
        let lanes: BTreeMap<_, _> = timeline.instances().into_iter().zip(0..).collect();
        let longest = lanes.keys().map(|instance| instance.as_str().len()).max();
        let first = first_us(events);
        let last = events.iter().map(Event::timeline_us).max().unwrap_or(first);
        Self {
            events,
            lanes,
            left: longest.unwrap_or(0) as f64 * CHARACTER + GAP,
            first,
            span: (last - first).max(1),
        }
    }

    fn x(&self, event: &Event) -> f64 {
        self.x_at(event.timeline_us() - self.first)
    }

    fn x_at(&self, passed_us: u64) -> f64 {
        self.left + passed_us as f64 / self.span as f64 * LANES
    }

    fn right(&self) -> f64 {
        self.left + LANES
    }

    fn y(&self, instance: &InstanceId) -> Option<f64> {
        let lane = self.lanes.get(instance)?;
        Some(SCALE + LANE * (*lane as f64 + 0.5))
    }

    fn write(&self, page: &mut String) {
        let height = SCALE + LANE * self.lanes.len() as f64 + 8.0;
        let _ = writeln!(
            page,
            "<svg width=\"{}\" height=\"{height}\" role=\"img\">",
            self.right() + MARGIN
        );
        self.write_scale(page, height);
        for (instance, lane) in &self.lanes {
            let y = SCALE + LANE * (*lane as f64 + 0.5);
            let _ = writeln!(
                page,
                "<line class=\"lane\" x1=\"{:.1}\" x2=\"{:.1}\" y1=\"{y}\" y2=\"{y}\"/><text x=\"4\" y=\"{}\">{}</text>",
                self.left,
                self.right(),
                y + 4.0,
                escape(instance.as_str())
            );
        }
        for event in self.events {
            self.write_event(page, event);
        }
        page.push_str("</svg>\n");
        self.write_legend(page);
    }

    fn write_scale(&self, page: &mut String, height: f64) {
        for (passed_us, label) in Scale::new(self.span).marks() {
            let x = self.x_at(passed_us);
            let _ = writeln!(
                page,
                "<line class=\"mark\" x1=\"{x:.1}\" x2=\"{x:.1}\" y1=\"{SCALE}\" y2=\"{height}\"/>\
                 <text x=\"{x:.1}\" y=\"16\" text-anchor=\"middle\">{label}</text>"
            );
        }
    }

    fn write_event(&self, page: &mut String, event: &Event) {
        let Some(y) = self.y(&event.instance) else { return };
        let x = self.x(event);
        if let Some(other) = event.peer.as_ref().and_then(|peer| self.y(peer)) {
            let _ = writeln!(
                page,
                "<line class=\"way\" x1=\"{x:.1}\" x2=\"{x:.1}\" y1=\"{y}\" y2=\"{other}\"/>"
            );
        }
        let millis = (event.timeline_us() - self.first) as f64 / 1000.0;
        let _ = writeln!(
            page,
            "<circle cx=\"{x:.1}\" cy=\"{y}\" r=\"4\" fill=\"{}\"><title>{millis:.3} ms {} {}</title></circle>",
            colour(event.kind),
            event.kind,
            escape(&concerns(event))
        );
    }

    fn write_legend(&self, page: &mut String) {
        let kinds: BTreeMap<EventKind, usize> =
            self.events.iter().fold(BTreeMap::new(), |mut kinds, event| {
                *kinds.entry(event.kind).or_default() += 1;
                kinds
            });
        page.push_str("<p class=\"key\">");
        for (kind, count) in kinds {
            let _ = write!(
                page,
                "<span style=\"color:{}\">&#9679; {kind} ({count})</span> ",
                colour(kind)
            );
        }
        page.push_str("</p>\n");
    }
}

fn write_list(page: &mut String, events: &[Event]) {
    let first = first_us(events);
    page.push_str("<table><tr><th>ms</th><th>process</th><th>event</th><th>concerns</th></tr>\n");
    for event in events {
        let _ = writeln!(
            page,
            "<tr><td>{:.3}</td><td>{}</td><td style=\"color:{}\">{}</td><td>{}</td></tr>",
            (event.timeline_us() - first) as f64 / 1000.0,
            escape(event.instance.as_str()),
            colour(event.kind),
            event.kind,
            escape(&concerns(event))
        );
    }
    page.push_str("</table>\n");
}

fn first_us(events: &[Event]) -> u64 {
    events.iter().map(Event::timeline_us).min().unwrap_or(0)
}

const fn colour(kind: EventKind) -> &'static str {
    match kind {
        EventKind::ProcessStarted | EventKind::ProcessStopped => "#555555",
        EventKind::Submitted => "#1f77b4",
        EventKind::Forwarded | EventKind::LinkReplaced => "#9467bd",
        EventKind::IntentsReplicated => "#17809c",
        EventKind::TaskStarted => "#2a7f2a",
        EventKind::TaskEnded => "#7a9a01",
        EventKind::Answered => "#0b4f8a",
        EventKind::Refused | EventKind::Cancelled => "#c62828",
        EventKind::Relayed => "#8c564b",
        EventKind::TargetAnnounced | EventKind::TargetLeft => "#b8860b",
        EventKind::SettingsApplied | EventKind::EpochInstalled | EventKind::TakenOver => "#c2388a",
        EventKind::EventsDropped => "#ff0000",
    }
}

fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    text.replace('>', "&gt;").replace('"', "&quot;")
}
