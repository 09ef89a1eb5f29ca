//! Measures the time of claims with placements, and the memory of records.
//!
//! `cargo run --release -p kqr-jobs --example measure`

use std::{
    error::Error,
    fmt::Write,
    fs,
    time::{Duration, Instant as Clock},
};

use kqr_jobs::{
    CallerId, Input, JobMessage, Machine, Member, Options, Output, Submission, Submit, TaskEnd, TaskResult,
    TaskSpec, home_order,
};
use kqr_types::{
    ByteSize, CellMember, CellView, Epoch, Incarnation, InstanceId, Instant, JobKey, KeyDigest, MemberState,
};

/// Number of tasks of a large job.
const MAX_TASKS: usize = 190;
/// Size of a task's payload and of its result.
const TEXT_BYTES: usize = 64;
/// Size of a memory page.
const PAGE_BYTES: f64 = 4096.0;

fn main() -> Result<(), Box<dyn Error>> {
    for tasks in [1, 10, MAX_TASKS] {
        print_job_memory("live job", tasks, &[2_000, 4_000, 8_000], false)?;
        print_job_memory("remembered job", tasks, &[2_000, 4_000, 8_000], true)?;
    }
    print_tombstone_memory(&[100_000, 200_000, 400_000])?;
    for members in 1..=3 {
        let micros = measure_claim_micros(members, 400)?;
        println!("claim and placement of {MAX_TASKS} tasks, {members} members in turn: {micros:.0} us a job");
    }
    Ok(())
}

fn new_cell(members: u64, options: &Options) -> Result<(Vec<Machine>, CellView), Box<dyn Error>> {
    let mut view = CellView {
        epoch: Epoch(1),
        members: Vec::new(),
    };
    let mut machines = Vec::new();
    for index in 0..members {
        let id: InstanceId = format!("entry-{index}").parse()?;
        let incarnation = Incarnation(1);
        view.members.push(CellMember {
            id: id.clone(),
            incarnation,
            weight: 1,
            state: MemberState::Full,
        });
        machines.push(Machine::new(Member { id, incarnation }, options.clone()));
    }
    let lease = Input::Lease { until: Instant::MAX };
    for index in 0..machines.len() {
        handle_inputs(
            &mut machines,
            index,
            vec![lease.clone(), Input::Epoch(view.clone())],
        );
    }
    for index in 0..machines.len() {
        handle_inputs(&mut machines, index, vec![Input::Tick]);
    }
    Ok((machines, view))
}

/// Handles inputs at a machine, delivers all messages that result, and returns the number of starts.
fn handle_inputs(machines: &mut [Machine], index: usize, mut inputs: Vec<Input>) -> usize {
    inputs.push(Input::Flush);
    let now = Instant(100_000_000);
    let mut starts = 0;
    let mut pending = vec![(index, inputs)];
    while let Some((index, inputs)) = pending.pop() {
        let mut outputs = Vec::new();
        for input in inputs {
            machines[index].handle(now, input, &mut outputs);
        }
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let to = to.as_str().trim_start_matches("entry-").parse().unwrap_or(0);
                    pending.push((to, vec![peer_input(index, message), Input::Flush]));
                }
                Output::Start(_) => starts += 1,
                _ => {}
            }
        }
    }
    starts
}

fn peer_input(from: usize, message: JobMessage) -> Input {
    let id = format!("entry-{from}");
    Input::Peer {
        from: id.parse().unwrap_or_else(|_| std::process::abort()),
        incarnation: Incarnation(1),
        message,
    }
}

fn submission(key: JobKey, tasks: usize) -> Result<Submission, Box<dyn Error>> {
    let spec = TaskSpec {
        class: "proof".parse()?,
        payload: String::new(),
        run_time: None,
        cores: 1,
        memory: ByteSize(0),
        accelerators: 0,
    };
    let mut specs = Vec::with_capacity(tasks);
    for _ in 0..tasks {
        specs.push(TaskSpec {
            payload: "x".repeat(TEXT_BYTES),
            ..spec.clone()
        });
    }
    Ok(Submission {
        key,
        attempt: None,
        team: "press".parse()?,
        service: "pressverk".parse()?,
        deadline: Duration::from_secs(10),
        fingerprint: 1,
        tasks: specs,
    })
}

/// Returns the inputs that submit a job and place each of its tasks.
fn claim_inputs(key: &JobKey, tasks: usize) -> Result<Vec<Input>, Box<dyn Error>> {
    let submit = Submit {
        caller: Some(CallerId(1)),
        submission: submission(key.clone(), tasks)?,
    };
    let mut inputs = vec![Input::Submit(submit)];
    for task in 0..tasks {
        inputs.push(Input::Placed {
            key: key.clone(),
            task: kqr_types::TaskIndex(task as u16),
            target: "target-17".parse()?,
            incarnation: Incarnation(1),
        });
    }
    Ok(inputs)
}

fn options() -> Options {
    Options {
        cold_start_window: Duration::ZERO,
        max_retained_bytes: ByteSize(u64::MAX),
        resend_timeout: Duration::ZERO,
        ..Options::default()
    }
}

/// Returns the mean time of one job in microseconds, summed over its home and followers.
fn measure_claim_micros(members: u64, jobs: usize) -> Result<f64, Box<dyn Error>> {
    let (mut machines, view) = new_cell(members, &options())?;
    let mut elapsed = Duration::ZERO;
    for number in 0..jobs {
        let key: JobKey = format!("job-{number}").parse()?;
        let inputs = claim_inputs(&key, MAX_TASKS)?;
        let home = home_of(&view, &key);
        let begin = Clock::now();
        let starts = handle_inputs(&mut machines, home, inputs);
        elapsed += begin.elapsed();
        if starts != MAX_TASKS {
            return Err(format!("{starts} starts instead of {MAX_TASKS}").into());
        }
    }
    Ok(elapsed.as_secs_f64() * 1e6 / jobs as f64)
}

fn home_of(view: &CellView, key: &JobKey) -> usize {
    let order = home_order(view, KeyDigest::of(key));
    let home = order.first().map(|member| &member.id);
    let position = view.members.iter().position(|member| Some(&member.id) == home);
    position.unwrap_or(0)
}

/// Prints the memory of one job, determined from the growth of the process at several job counts.
fn print_job_memory(
    label: &str,
    tasks: usize,
    counts: &[usize],
    is_ended: bool,
) -> Result<(), Box<dyn Error>> {
    let mut line = format!("{label} of {tasks} tasks, bytes:");
    for count in counts {
        let count = count / tasks.min(10);
        let before = resident_bytes()?;
        let (mut machines, _) = new_cell(1, &options())?;
        for number in 0..count {
            let key: JobKey = format!("job-{number}").parse()?;
            handle_inputs(&mut machines, 0, claim_inputs(&key, tasks)?);
            if is_ended {
                handle_inputs(&mut machines, 0, end_inputs(&key, tasks));
            }
        }
        let bytes_per_record = (resident_bytes()? - before) / count as f64;
        let size = machines[0].state_size();
        let estimate = (size.live_bytes.0 + size.retained_bytes.0) as f64 / count as f64;
        write!(
            line,
            " {count} jobs {bytes_per_record:.0} (estimate {estimate:.0})"
        )?;
        std::mem::forget(machines);
    }
    println!("{line}");
    Ok(())
}

fn end_inputs(key: &JobKey, tasks: usize) -> Vec<Input> {
    let mut inputs = Vec::with_capacity(tasks);
    for task in 0..tasks {
        inputs.push(Input::Ended(TaskEnd {
            key: key.clone(),
            attempt: kqr_types::AttemptId {
                job: KeyDigest::of(key),
                task: kqr_types::TaskIndex(task as u16),
                attempt: kqr_types::Attempt(1),
            },
            result: TaskResult::Completed("y".repeat(TEXT_BYTES)),
            run_time: None,
        }));
    }
    inputs
}

fn print_tombstone_memory(counts: &[usize]) -> Result<(), Box<dyn Error>> {
    let mut line = String::from("tombstone, bytes:");
    for count in counts {
        let before = resident_bytes()?;
        let (mut machines, _) = new_cell(
            1,
            &Options {
                max_retained_jobs: 0,
                ..options()
            },
        )?;
        for number in 0..*count {
            let key: JobKey = format!("job-{number}").parse()?;
            handle_inputs(&mut machines, 0, claim_inputs(&key, 1)?);
            handle_inputs(&mut machines, 0, end_inputs(&key, 1));
            handle_inputs(&mut machines, 0, vec![Input::Tick]);
        }
        let size = machines[0].state_size();
        let bytes_per_record = (resident_bytes()? - before) / size.tombstones.max(1) as f64;
        write!(line, " {} tombstones {bytes_per_record:.1}", size.tombstones)?;
        std::mem::forget(machines);
    }
    println!("{line}");
    Ok(())
}

/// Returns the resident memory of the process in bytes.
fn resident_bytes() -> Result<f64, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = text.split(' ').nth(1).ok_or("no resident size")?.parse()?;
    Ok(pages * PAGE_BYTES)
}
