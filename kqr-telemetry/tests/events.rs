//! Order of events, size limits of event files, and accounting of dropped events.

use std::{fs, path::Path, sync::Arc};

use kqr_telemetry::{Event, EventKind, EventLog, HybridClock, HybridTime, RotationOptions};
use kqr_types::ByteSize;
use quickcheck::quickcheck;

quickcheck! {
    fn hybrid_time_round_trips(unix_us: u64, logical: u16) -> bool {
        let text = format!("{}.{}", unix_us >> 12, logical >> 4);
        text.parse::<HybridTime>().is_ok_and(|time| time.to_string() == text && time.unix_us() == unix_us >> 12)
    }

    fn readings_increase(walls: Vec<u32>, received: Vec<u32>) -> bool {
        let clock = HybridClock::new();
        let mut last = HybridTime::default();
        for (wall, received) in walls.iter().zip(&received) {
            let received = HybridTime::from_unix_us(u64::from(*received));
            let is_merged = clock.merge(u64::from(*wall), received);
            let time = clock.read(u64::from(*wall));
            if time <= last || is_merged && time <= received {
                return false;
            }
            last = time;
        }
        true
    }
}

#[test]
fn malformed_and_far_ahead_readings_are_rejected() {
    for text in ["", "1", "1.", ".1", "-1.0", "1.4096", "18446744073709551615.0"] {
        assert!(text.parse::<HybridTime>().is_err(), "{text:?} was accepted");
    }
    let clock = HybridClock::new();
    assert!(
        !clock.merge(1_000_000, HybridTime::from_unix_us(62_000_000)),
        "a reading more than a minute ahead is not merged"
    );
    assert_eq!(clock.read(1_000_000).unix_us(), 1_000_000);
}

#[test]
fn kinds_have_the_same_name_in_files_and_on_the_command_line() {
    for kind in [
        EventKind::ProcessStarted,
        EventKind::TaskStarted,
        EventKind::EventsDropped,
    ] {
        assert_eq!(serde_json::to_value(kind).unwrap(), kind.to_string());
        assert_eq!(kind.to_string().parse(), Ok(kind));
    }
}

fn read(path: &Path) -> Vec<Event> {
    let text = fs::read_to_string(path).unwrap_or_default();
    text.lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect()
}

#[test]
fn files_are_bounded_and_retain_the_latest_events() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.jsonl");
    let options = RotationOptions {
        max_file_bytes: ByteSize(4096),
        max_rotated_files: 2,
    };
    let log = EventLog::open_with_options("entry-1".parse().unwrap(), &path, options).unwrap();
    for _ in 0..500 {
        log.record(log.new_event(EventKind::Submitted));
    }
    log.flush();
    let mut sequences = Vec::new();
    for name in ["a.jsonl.2", "a.jsonl.1", "a.jsonl"] {
        let file = folder.path().join(name);
        assert!(fs::metadata(&file).unwrap().len() <= 4096, "{name} is bounded");
        sequences.extend(read(&file).iter().map(|event| event.sequence));
    }
    assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 3);
    assert_eq!(sequences.last(), Some(&499));
    assert!(
        sequences.windows(2).all(|pair| pair[1] == pair[0] + 1),
        "no event is missing between files"
    );
}

#[test]
fn each_recorded_event_is_written_or_counted() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.jsonl");
    let log = Arc::new(EventLog::open("entry-1".parse().unwrap(), &path).unwrap());
    let mut threads = Vec::new();
    for _ in 0..4 {
        let log = Arc::clone(&log);
        threads.push(std::thread::spawn(move || {
            for _ in 0..40_000 {
                log.record(log.new_event(EventKind::TaskStarted));
            }
        }));
    }
    for thread in threads {
        thread.join().unwrap();
    }
    log.flush();
    let events = read(&path);
    let written = events
        .iter()
        .filter(|event| event.kind == EventKind::TaskStarted)
        .count() as u64;
    assert_eq!(written + log.dropped(), 160_000);
    let is_reported = events.iter().any(|event| event.kind == EventKind::EventsDropped);
    assert_eq!(
        is_reported,
        log.dropped() > 0,
        "dropped events are reported in the file"
    );
}

#[test]
fn incomplete_line_of_an_earlier_process_does_not_corrupt_later_events() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.jsonl");
    fs::write(&path, "{\"unix_us\":1,\"seq").unwrap();
    let log = EventLog::open("entry-1".parse().unwrap(), &path).unwrap();
    log.record(log.new_event(EventKind::ProcessStarted));
    log.flush();
    assert_eq!(read(&path).len(), 1);
}
