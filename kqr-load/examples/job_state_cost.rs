//! Measures the memory of jobs in one job machine: `job_state_cost live|remembered|forgotten JOBS TASKS`.
//!
//! Prints the growth of the resident memory and the machine's own estimate, in bytes a job. One measurement a process, so that
//! none reuses the memory of another.

use std::{fs, time::Duration};

use clap::{Parser, ValueEnum};
use kqr_jobs::{CallerId, Input, Machine, Member, Output, Submission, Submit, TaskEnd, TaskResult, TaskSpec};
use kqr_types::{ByteSize, CellMember, CellView, Epoch, Incarnation, InstanceId, Instant, MemberState};

/// Jobs that are submitted together.
const BATCH: u64 = 100;
/// Jobs that are submitted together and forgotten together.
const FORGOTTEN_BATCH: u64 = 1000;

/// State of the jobs that are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum State {
    /// Waiting for slots.
    Live,
    /// Ended, with the answer kept.
    Remembered,
    /// Ended, with only the outcome kept.
    Forgotten,
}

#[derive(Debug, Parser)]
struct Options {
    state: State,
    jobs: u64,
    tasks: usize,
}

fn submission(number: u64, tasks: usize) -> eyre::Result<Submission> {
    let mut specs = Vec::with_capacity(tasks);
    for index in 0..tasks {
        specs.push(TaskSpec {
            class: "proof".parse()?,
            payload: format!("{{\"run_ms\":80,\"echo\":\"{number}/{index}\"}}"),
            run_time: Some(Duration::from_millis(80)),
            cores: 1,
            memory: ByteSize(0),
            accelerators: 0,
        });
    }
    Ok(Submission {
        key: format!("order-2026-{number:08}").parse()?,
        attempt: None,
        team: "default".parse()?,
        service: "pressverk".parse()?,
        deadline: Duration::from_secs(30),
        fingerprint: number,
        tasks: specs,
    })
}

fn new_machine() -> eyre::Result<Machine> {
    let id: InstanceId = "entry-uppsala-1".parse()?;
    let incarnation = Incarnation(1);
    let options = kqr_jobs::Options {
        max_retained_jobs: usize::MAX,
        max_retained_bytes: ByteSize(u64::MAX),
        cold_start_window: Duration::ZERO,
        ..kqr_jobs::Options::default()
    };
    let member = CellMember {
        id: id.clone(),
        incarnation,
        weight: 1,
        state: MemberState::Full,
    };
    let mut machine = Machine::new(Member { id, incarnation }, options);
    let view = CellView {
        epoch: Epoch(1),
        members: vec![member],
    };
    let outputs = &mut Vec::new();
    machine.handle(Instant(1), Input::Epoch(view), outputs);
    machine.handle(Instant(1), Input::Lease { until: Instant::MAX }, outputs);
    machine.handle(Instant(2), Input::Flush, outputs);
    Ok(machine)
}

fn resident() -> eyre::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.unwrap_or("0").parse::<u64>()? * 1024)
}

/// Submits the jobs in small batches, so that what the machine puts out takes little memory beside it.
fn fill(machine: &mut Machine, options: &Options) -> eyre::Result<()> {
    let batch = if options.state == State::Forgotten {
        FORGOTTEN_BATCH
    } else {
        BATCH
    };
    let mut now = Instant(2);
    let mut waiting = Vec::new();
    for number in 0..options.jobs {
        let submission = submission(number, options.tasks)?;
        let caller = Some(CallerId(number));
        machine.handle(now, Input::Submit(Submit { caller, submission }), &mut waiting);
        if !(number + 1).is_multiple_of(batch) {
            continue;
        }
        machine.handle(now, Input::Flush, &mut waiting);
        let waiting = std::mem::take(&mut waiting);
        if options.state != State::Live {
            finish(machine, now, waiting)?;
        }
        if options.state == State::Forgotten {
            now = now + kqr_jobs::Options::default().retention + Duration::from_secs(1);
            machine.handle(now, Input::Tick, &mut Vec::new());
        }
    }
    Ok(())
}

/// Places and ends all waiting tasks.
fn finish(machine: &mut Machine, now: Instant, waiting: Vec<Output>) -> eyre::Result<()> {
    let mut starts = Vec::new();
    for output in waiting {
        let Output::Enqueue(tasks) = output else { continue };
        for task in tasks {
            let input = Input::Placed {
                key: task.key,
                task: task.task,
                target: "worker-uppsala-0017".parse()?,
                incarnation: Incarnation(1),
            };
            machine.handle(now, input, &mut starts);
        }
    }
    machine.handle(now, Input::Flush, &mut starts);
    for output in starts {
        let Output::Start(start) = output else { continue };
        let end = TaskEnd {
            result: TaskResult::Completed(format!("{}#{}:result", start.key, start.attempt.task)),
            key: start.key,
            attempt: start.attempt,
            run_time: Some(Duration::from_millis(80)),
        };
        machine.handle(now, Input::Ended(end), &mut Vec::new());
    }
    machine.handle(now, Input::Flush, &mut Vec::new());
    Ok(())
}

fn main() -> eyre::Result<()> {
    let options = Options::parse();
    let before = resident()?;
    let mut machine = new_machine()?;
    fill(&mut machine, &options)?;
    let grown = resident()? - before;
    let size = machine.state_size();
    let (count, estimate) = match options.state {
        State::Live => (size.live_jobs, size.live_bytes),
        State::Remembered => (size.retained_jobs, size.retained_bytes),
        State::Forgotten => (size.tombstones, size.tombstone_bytes),
    };
    println!(
        "{:?}: {count} jobs of {} tasks: {} bytes a job, estimate {}",
        options.state,
        options.tasks,
        grown / count as u64,
        estimate.0 / count as u64
    );
    Ok(())
}
