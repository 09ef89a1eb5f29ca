//! Measures what reading event files costs: time and memory an event, for several numbers of events.
//!
//! Each point runs in the folder given as the first argument; the numbers of events of all files together follow, in
//! growing order, as the peak of the process's memory never falls.

use std::{
    fs::{self, File},
    io::{self, BufWriter, Write},
    path::{Path, PathBuf},
    time::Instant,
};

use clap::Parser;
use eyre::{WrapErr, eyre};
use kqr_telemetry::{Event, EventKind, EventLog, HybridTime};
use kqr_timeline::{Options, run};
use kqr_types::{Attempt, AttemptId, InstanceId, JobKey, KeyDigest, TaskIndex};

/// Files of each point, as of one instance whose events fill them one after the other.
const FILES: u64 = 4;
/// Tasks of a job.
const TASKS: u64 = 16;
/// Time between two events, in microseconds: the target size's 2,900 events a second of one entry.
const STEP_US: u64 = 345;

fn main() -> eyre::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let folder = PathBuf::from(arguments.next().ok_or_else(|| eyre!("a folder is needed"))?);
    fs::create_dir_all(&folder).wrap_err("creating the folder")?;
    println!("events  file_mb  selection  matched  held  seconds  us_per_event  peak_mb");
    for count in arguments {
        let count: u64 = count.parse().wrap_err("reading a number of events")?;
        let files = generate(&folder, count)?;
        let bytes: u64 = files
            .iter()
            .filter_map(|file| Some(fs::metadata(file).ok()?.len()))
            .sum();
        measure(&files, bytes, &["--key", "job-17"])?;
        measure(&files, bytes, &["--format", "json"])?;
        for file in files {
            fs::remove_file(file).wrap_err("removing a file")?;
        }
    }
    Ok(())
}

/// Writes `count` events, one at a time.
fn generate(folder: &Path, count: u64) -> eyre::Result<Vec<PathBuf>> {
    let instance: InstanceId = "entry-uppsala-2".parse()?;
    let log = EventLog::disabled(instance);
    let template = log.new_event(EventKind::TaskStarted);
    let mut files = Vec::new();
    for number in 0..FILES {
        let path = folder.join(format!("merge-cost.{number}.jsonl"));
        let file = File::create(&path).wrap_err_with(|| format!("creating {}", path.display()))?;
        let mut out = BufWriter::new(file);
        let (from, until) = (number * count / FILES, (number + 1) * count / FILES);
        for sequence in from..until {
            serde_json::to_writer(&mut out, &event(&template, sequence)?)?;
            out.write_all(b"\n")?;
        }
        out.flush()?;
        files.push(path);
    }
    Ok(files)
}

fn event(template: &Event, sequence: u64) -> eyre::Result<Event> {
    let job = sequence / (2 * TASKS);
    let key: JobKey = format!("job-{job}").parse()?;
    let kinds = [EventKind::TaskStarted, EventKind::TaskEnded];
    let unix_us = template.unix_us + sequence * STEP_US;
    Ok(Event {
        unix_us,
        time: HybridTime::from_unix_us(unix_us),
        sequence,
        kind: kinds[usize::from(sequence % (2 * TASKS) >= TASKS)],
        target: Some("worker-uppsala-0017".parse()?),
        attempt: Some(AttemptId {
            job: KeyDigest::of(&key),
            task: TaskIndex((sequence % TASKS) as u16),
            attempt: Attempt(1),
        }),
        key: Some(key),
        ..template.clone()
    })
}

fn measure(files: &[PathBuf], bytes: u64, selection: &[&str]) -> eyre::Result<()> {
    let paths = files.iter().map(|file| file.display().to_string());
    let mut arguments: Vec<String> = std::iter::once("kqr-timeline".to_owned()).chain(paths).collect();
    arguments.extend(selection.iter().map(ToString::to_string));
    let options = Options::try_parse_from(arguments)?;
    let started = Instant::now();
    let summary = run(&options, &mut io::sink())?;
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "{}  {}  {}  {}  {}  {seconds:.2}  {:.2}  {}",
        summary.read,
        bytes >> 20,
        selection.join(" "),
        summary.matched,
        summary.peak_held,
        seconds * 1e6 / summary.read as f64,
        peak_kib()? >> 10
    );
    Ok(())
}

/// Returns the process's largest memory so far, in KiB.
fn peak_kib() -> eyre::Result<u64> {
    let status = fs::read_to_string("/proc/self/status").wrap_err("reading the process's status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let text = line.ok_or_else(|| eyre!("no peak of the memory"))?;
    let number = text.trim().trim_end_matches(" kB");
    number.trim().parse().wrap_err("reading the peak of the memory")
}
