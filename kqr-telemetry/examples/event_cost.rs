//! Measures the cost of events and metrics: bytes and CPU time per event, and time per recorded metric.

use std::{fs, hint::black_box, path::Path, time::Duration, time::Instant};

use kqr_telemetry::{AnswerClass, EventKind, EventLog, Metrics, RotationOptions, TaskLength, WorkKind};
use kqr_types::{Attempt, AttemptId, ByteSize, JobKey, KeyDigest, TaskIndex};

/// Number of events of each measurement.
const EVENT_COUNTS: [u32; 4] = [10_000, 20_000, 40_000, 60_000];
/// Number of records over which the time of a metric is averaged.
const METRIC_RECORDS: u32 = 1_000_000;

fn main() -> eyre::Result<()> {
    let path = std::env::temp_dir().join(format!("kqr-event-cost-{}", std::process::id()));
    println!("events  file_bytes  bytes_per_event  record_ns  cpu_us_per_event  dropped");
    for events in EVENT_COUNTS {
        measure_events(&path, events)?;
        fs::remove_file(&path)?;
    }
    let metrics = Metrics::new()?;
    let started = Instant::now();
    for number in 0..METRIC_RECORDS {
        let wait = Duration::from_micros(u64::from(number % 1000));
        metrics.record_task_start(TaskLength::Short, black_box(wait));
    }
    println!(
        "task_started: {} ns",
        started.elapsed().as_nanos() / u128::from(METRIC_RECORDS)
    );
    let started = Instant::now();
    for number in 0..METRIC_RECORDS {
        let response = Duration::from_micros(u64::from(number % 1000));
        metrics.record_answer(WorkKind::Job, AnswerClass::InTime, black_box(response));
    }
    println!(
        "answered: {} ns",
        started.elapsed().as_nanos() / u128::from(METRIC_RECORDS)
    );
    println!("text: {} bytes", metrics.encode_text()?.len());
    metrics.shutdown()
}

fn measure_events(path: &Path, events: u32) -> eyre::Result<()> {
    let options = RotationOptions {
        max_file_bytes: ByteSize(1 << 30),
        max_rotated_files: 0,
    };
    let log = EventLog::open_with_options("entry-uppsala-1".parse()?, path, options)?;
    let key: JobKey = "order-2026-000017".parse()?;
    let digest = KeyDigest::of(&key);
    let before = cpu_ticks()?;
    let started = Instant::now();
    for number in 0..events {
        let mut event = log.new_event(EventKind::TaskStarted);
        event.key = Some(key.clone());
        event.target = Some("worker-uppsala-0017".parse()?);
        event.attempt = Some(AttemptId {
            job: digest,
            task: TaskIndex(number as u16 % 190),
            attempt: Attempt(1),
        });
        log.record(event);
    }
    let record = started.elapsed();
    log.flush();
    let cpu_us = (cpu_ticks()? - before) * 10_000;
    let bytes = fs::metadata(path)?.len();
    println!(
        "{events:>6}  {bytes:>10}  {:>15}  {:>9}  {:>16.1}  {:>7}",
        bytes / u64::from(events),
        record.as_nanos() / u128::from(events),
        cpu_us as f64 / f64::from(events),
        log.dropped()
    );
    Ok(())
}

/// Returns the CPU time of this process, in ticks of 10 ms.
fn cpu_ticks() -> eyre::Result<u64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .skip(11)
        .take(2);
    Ok(fields.filter_map(|field| field.parse::<u64>().ok()).sum())
}
