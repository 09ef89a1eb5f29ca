//! Merging, filtering and formatting of event files.

use std::fs;

use clap::Parser;
use kqr_telemetry::{Event, EventKind, EventLog};
use kqr_timeline::{Filter, Options, Source, Timeline, run, to_html, to_table};
use kqr_types::{Attempt, AttemptId, KeyDigest, TaskIndex};

/// Two processes with clocks that differ by 5 s: the first forwards a job to the second.
fn sources() -> Vec<Source> {
    let (near, far) = (
        EventLog::disabled("entry-1".parse().unwrap()),
        EventLog::disabled("entry-2".parse().unwrap()),
    );
    let with_key = |mut event: Event, key: &str| {
        event.key = Some(key.parse().unwrap());
        event
    };
    let submitted = with_key(near.event(EventKind::Submitted), "order-17");
    let mut forwarded = with_key(near.event(EventKind::Forwarded), "order-17");
    forwarded.peer = Some("entry-2".parse().unwrap());
    far.merge(forwarded.time);
    let mut started = far.event(EventKind::TaskStarted);
    started.unix_us -= 5_000_000;
    started.target = Some("worker-3".parse().unwrap());
    started.attempt = Some(AttemptId {
        job: KeyDigest::of(&"order-17".parse().unwrap()),
        task: TaskIndex(0),
        attempt: Attempt(1),
    });
    near.merge(started.time);
    let answered = with_key(near.event(EventKind::Answered), "order-17");
    let other = with_key(near.event(EventKind::Submitted), "order-18");
    let source = |events| Source {
        events,
        torn: Vec::new(),
    };
    vec![
        source(vec![started]),
        source(vec![submitted, forwarded, answered, other]),
    ]
}

fn kinds(timeline: &Timeline) -> Vec<EventKind> {
    timeline.events.iter().map(|event| event.kind).collect()
}

#[test]
fn events_are_in_causal_order_although_clocks_differ() {
    let timeline = Timeline::merge(sources());
    let expected = [
        EventKind::Submitted,
        EventKind::Forwarded,
        EventKind::TaskStarted,
        EventKind::Answered,
        EventKind::Submitted,
    ];
    assert_eq!(kinds(&timeline), expected);
    assert!(timeline.warnings().is_empty(), "{:?}", timeline.warnings());
}

#[test]
fn each_filter_keeps_what_matches() {
    let all = Timeline::merge(sources());
    let kept = |arguments: &[&str]| {
        let options = ["kqr-timeline", "file"].iter().chain(arguments);
        let filter: Filter = Options::try_parse_from(options).unwrap().filter;
        let mut timeline = all.clone();
        timeline.retain(&filter);
        kinds(&timeline).len()
    };
    let first = all.events[0].placed_us();
    assert_eq!(
        kept(&["--key", "order-17"]),
        4,
        "with the attempt, which carries only the digest"
    );
    assert_eq!(kept(&["--key", "order-18"]), 1);
    assert_eq!(kept(&["--instance", "entry-2"]), 2, "recorded there, or about it");
    assert_eq!(kept(&["--target", "worker-3"]), 1);
    assert_eq!(kept(&["--kind", "submitted", "--kind", "answered"]), 3);
    assert_eq!(kept(&["--until-us", &(first - 1).to_string()]), 0);
    assert_eq!(kept(&["--from-us", &first.to_string(), "--key", "order-17"]), 4);
    assert!(Options::try_parse_from(["kqr-timeline", "file", "--kind", "nonsense"]).is_err());
}

#[test]
fn a_torn_last_line_and_missing_events_are_told() {
    let events = sources().remove(1).events;
    let mut text = String::new();
    for event in [&events[0], &events[3]] {
        text.push_str(&serde_json::to_string(event).unwrap());
        text.push('\n');
    }
    text.push_str("{\"unix_us\":176");
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.jsonl");
    fs::write(&path, &text).unwrap();
    let options = Options::try_parse_from(["kqr-timeline", path.to_str().unwrap()]).unwrap();
    let table = run(&options).unwrap();
    assert!(
        table.contains("a.jsonl:3: torn last line, the process ended while writing"),
        "{table}"
    );
    assert!(
        table.contains("entry-1: 2 events are missing after number 0"),
        "{table}"
    );
    assert_eq!(table.lines().filter(|line| !line.starts_with('#')).count(), 2);
}

#[test]
fn a_process_that_started_again_has_no_gap() {
    let life = || {
        let log = EventLog::disabled("entry-1".parse().unwrap());
        vec![
            log.event(EventKind::ProcessStarted),
            log.event(EventKind::Submitted),
        ]
    };
    let source = |events| Source {
        events,
        torn: Vec::new(),
    };
    let timeline = Timeline::merge(vec![source(life()), source(life())]);
    assert_eq!(timeline.gaps, []);
}

#[test]
fn an_event_in_two_files_is_shown_once() {
    let mut doubled = sources();
    doubled.push(doubled[1].clone());
    assert_eq!(Timeline::merge(doubled).events.len(), 5);
}

#[test]
fn the_page_has_a_lane_for_each_process_and_escapes_text() {
    let mut timeline = Timeline::merge(sources());
    timeline.events[0].detail = Some("<script>\"&".to_owned());
    let page = to_html(&timeline);
    assert_eq!(page.matches("class=\"lane\"").count(), 2);
    assert_eq!(page.matches("<circle").count(), 5);
    assert!(page.contains("&lt;script&gt;&quot;&amp;") && !page.contains("<script"));
    assert!(!page.contains("http"), "nothing is fetched");
    assert_eq!(to_table(&timeline).lines().count(), 5);
}
