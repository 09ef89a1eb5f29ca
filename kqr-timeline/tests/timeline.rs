//! Merging, filtering and formatting of event files.

use std::{fs, io::Cursor};

use clap::Parser;
use kqr_telemetry::{Event, EventKind, EventLog, HybridTime};
use kqr_timeline::{Filter, MAX_DRAWN_EVENTS, Merge, Options, Source, Timeline, WINDOW_EVENTS, run, to_html};
use kqr_types::{Attempt, AttemptId, KeyDigest, TaskIndex};

/// Two processes with clocks that differ by 5 s: the first forwards a job to the second.
fn sources() -> Vec<Vec<Event>> {
    let (near, far) = (
        EventLog::disabled("entry-1".parse().unwrap()),
        EventLog::disabled("entry-2".parse().unwrap()),
    );
    let with_key = |mut event: Event, key: &str| {
        event.key = Some(key.parse().unwrap());
        event
    };
    let submitted = with_key(near.new_event(EventKind::Submitted), "order-17");
    let mut forwarded = with_key(near.new_event(EventKind::Forwarded), "order-17");
    forwarded.peer = Some("entry-2".parse().unwrap());
    far.merge(forwarded.time);
    let mut started = far.new_event(EventKind::TaskStarted);
    started.unix_us -= 5_000_000;
    started.target = Some("worker-3".parse().unwrap());
    started.attempt = Some(AttemptId {
        job: KeyDigest::of(&"order-17".parse().unwrap()),
        task: TaskIndex(0),
        attempt: Attempt(1),
    });
    near.merge(started.time);
    let answered = with_key(near.new_event(EventKind::Answered), "order-17");
    let other = with_key(near.new_event(EventKind::Submitted), "order-18");
    vec![vec![started], vec![submitted, forwarded, answered, other]]
}

fn lines(events: &[Event]) -> String {
    let mut text = String::new();
    for event in events {
        text.push_str(&serde_json::to_string(event).unwrap());
        text.push('\n');
    }
    text
}

fn collect(files: &[Vec<Event>], filter: &Filter) -> Timeline {
    let mut sources = Vec::new();
    for events in files {
        sources.push(Source::new("a.jsonl", Cursor::new(lines(events))));
    }
    Timeline::collect(Merge::new(sources).unwrap(), filter, MAX_DRAWN_EVENTS).unwrap()
}

fn merge(files: &[Vec<Event>]) -> Timeline {
    collect(files, &Filter::default())
}

/// Runs the program on `files`; returns what it writes, and the most events that it held.
fn written(files: &[Vec<Event>], arguments: &[&str]) -> (String, usize) {
    let folder = tempfile::tempdir().unwrap();
    let mut options = vec!["kqr-timeline".to_owned()];
    for (number, events) in files.iter().enumerate() {
        let path = folder.path().join(format!("{number}.jsonl"));
        fs::write(&path, lines(events)).unwrap();
        options.push(path.display().to_string());
    }
    options.extend(arguments.iter().map(ToString::to_string));
    let options = Options::try_parse_from(options).unwrap();
    let mut out = Vec::new();
    let summary = run(&options, &mut out).unwrap();
    (String::from_utf8(out).unwrap(), summary.peak_held)
}

/// `count` events of a process, each a microsecond after the one before, the first with `number`.
fn long_file(instance: &str, number: u64, count: u64) -> Vec<Event> {
    let mut events = Vec::new();
    let template = EventLog::disabled(instance.parse().unwrap()).new_event(EventKind::Submitted);
    for sequence in number..number + count {
        events.push(Event {
            sequence,
            time: HybridTime::from_unix_us(1_000_000 + sequence),
            ..template.clone()
        });
    }
    events
}

fn kinds(timeline: &Timeline) -> Vec<EventKind> {
    timeline.events.iter().map(|event| event.kind).collect()
}

#[test]
fn events_are_in_causal_order_although_clocks_differ() {
    let timeline = merge(&sources());
    let expected = [
        EventKind::Submitted,
        EventKind::Forwarded,
        EventKind::TaskStarted,
        EventKind::Answered,
        EventKind::Submitted,
    ];
    assert_eq!(kinds(&timeline), expected);
    assert!(timeline.findings.warnings().is_empty(), "{:?}", timeline.findings);
}

#[test]
fn each_filter_keeps_what_matches() {
    let sources = sources();
    let all = merge(&sources);
    let kept = |arguments: &[&str]| {
        let options = ["kqr-timeline", "file"].iter().chain(arguments);
        let filter: Filter = Options::try_parse_from(options).unwrap().filter;
        kinds(&collect(&sources, &filter)).len()
    };
    let first = all.events[0].timeline_us();
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
    let events = sources().remove(1);
    let mut text = lines(&[events[0].clone(), events[3].clone()]);
    text.push_str("{\"unix_us\":176");
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.jsonl");
    fs::write(&path, &text).unwrap();
    let options = Options::try_parse_from(["kqr-timeline", path.to_str().unwrap()]).unwrap();
    let mut out = Vec::new();
    run(&options, &mut out).unwrap();
    let table = String::from_utf8(out).unwrap();
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
            log.new_event(EventKind::ProcessStarted),
            log.new_event(EventKind::Submitted),
        ]
    };
    let timeline = merge(&[life(), life()]);
    assert_eq!(timeline.findings.gaps, []);
    assert_eq!(timeline.events.len(), 4);
}

#[test]
fn an_event_in_two_files_is_shown_once() {
    let mut doubled = sources();
    doubled.push(doubled[1].clone());
    assert_eq!(merge(&doubled).events.len(), 5);
}

#[test]
fn the_page_has_a_lane_for_each_process_and_escapes_text() {
    let mut timeline = merge(&sources());
    timeline.events[0].detail = Some("<script>\"&".to_owned());
    let page = to_html(&timeline);
    assert_eq!(page.matches("class=\"lane\"").count(), 2);
    assert_eq!(page.matches("<circle").count(), 5);
    assert!(page.contains("&lt;script&gt;&quot;&amp;") && !page.contains("<script"));
    assert!(!page.contains("http"), "nothing is fetched");
    assert_eq!(written(&sources(), &[]).0.lines().count(), 5);
}

#[test]
fn only_a_window_of_each_file_is_held() {
    let count = 20 * WINDOW_EVENTS as u64;
    let files = [
        long_file("entry-1", 0, count),
        long_file("entry-1", count, count),
        long_file("entry-2", 0, count),
    ];
    let most = files.len() * (WINDOW_EVENTS + 1) + 1;
    for format in ["table", "json"] {
        let (text, held) = written(&files, &["--format", format]);
        assert_eq!(text.lines().count() as u64, 3 * count, "{format}");
        assert!(held <= most, "{format}: {held} events held");
    }
    let (page, held) = written(&files, &["--format", "html"]);
    assert!(page.contains(&format!(
        "The first {MAX_DRAWN_EVENTS} of {} events are shown.",
        3 * count
    )));
    assert!(held <= most + MAX_DRAWN_EVENTS, "{held} events held");
}

#[test]
fn rotated_files_are_one_sequence_in_any_order() {
    let (old, new) = (long_file("entry-1", 0, 3000), long_file("entry-1", 3000, 3000));
    let timeline = merge(&[new, old]);
    assert_eq!(timeline.findings.warnings(), Vec::<String>::new());
    let sequences = timeline.events.iter().map(|event| event.sequence);
    assert!(sequences.eq(0..MAX_DRAWN_EVENTS as u64));
}

#[test]
fn events_out_of_order_are_put_in_order_or_told() {
    let mut events = long_file("entry-1", 0, 3 * WINDOW_EVENTS as u64);
    events.swap(10, 10 + WINDOW_EVENTS / 2);
    let timeline = merge(&[events.clone()]);
    assert!(timeline.events.is_sorted_by_key(|event| event.time));
    assert_eq!(timeline.findings.warnings(), Vec::<String>::new());
    let late = events.remove(10);
    events.push(late);
    let warnings = merge(&[events]).findings.warnings();
    let expected = "1 events stand far out of order in their files and are not in causal order here";
    assert_eq!(warnings, [expected]);
}

/// Returns position and text of each mark of a page's scale.
fn marks(page: &str) -> Vec<(f64, String)> {
    let mut marks = Vec::new();
    for line in page.lines().filter(|line| line.contains("class=\"mark\"")) {
        let text = line.split("<text x=\"").nth(1).unwrap();
        let (x, rest) = text.split_once('"').unwrap();
        let label = rest.split_once('>').unwrap().1.split('<').next().unwrap();
        marks.push((x.parse().unwrap(), label.to_owned()));
    }
    marks
}

#[test]
fn the_scale_has_round_marks_that_are_not_clipped() {
    let log = EventLog::disabled("entry-of-a-data-centre-with-a-long-name-1".parse().unwrap());
    let template = log.new_event(EventKind::Submitted);
    let page = |span_us: u64| {
        let at = |time| Event {
            time: HybridTime::from_unix_us(time),
            sequence: time,
            ..template.clone()
        };
        to_html(&merge(&[vec![at(1_000_000), at(1_000_000 + span_us)]]))
    };
    let labels = |span_us| -> Vec<String> {
        let marks = marks(&page(span_us));
        marks.into_iter().map(|(_, label)| label).collect()
    };
    assert_eq!(
        labels(14_962_100),
        ["0 s", "2 s", "4 s", "6 s", "8 s", "10 s", "12 s", "14 s"]
    );
    assert_eq!(
        labels(34_000),
        ["0 ms", "5 ms", "10 ms", "15 ms", "20 ms", "25 ms", "30 ms"]
    );
    assert_eq!(labels(2_000)[1], "0.200 ms");
    assert!((2..=11).contains(&labels(u64::from(u32::MAX)).len()));
    let page = page(1_000);
    let width: f64 = page
        .split("<svg width=\"")
        .nth(1)
        .unwrap()
        .split('"')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    let marks = marks(&page);
    let (first, last) = (marks.first().unwrap().0, marks.last().unwrap().0);
    assert!(
        last + 30.0 <= width,
        "the last label is clipped: {last} of {width}"
    );
    let name = 8.0 * "entry-of-a-data-centre-with-a-long-name-1".len() as f64;
    assert!(
        first - 30.0 >= name,
        "the first label is over a name of {name} pixels"
    );
}
