//! An entry is killed while the owner of the runners stands still for a third of a second and some orders to runners are
//! carried out late. The clients of the killed entry send their jobs again after `retransmitMs`. No task may then run twice
//! at the same time.

use std::{
    collections::BTreeMap,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{CONTACT, TASK_CPU, kind, make_ready, new_runner, small_deployment, wait_until};
use crate::{
    Verdict,
    clients::{Job, Rotation, start_clients},
    cluster::{Cluster, SIGCONT, SIGKILL, SIGSTOP},
    record::Record,
    runner::{Event, Runner},
};

/// `retransmitMs` of the small sites.
const RETRANSMIT: Duration = Duration::from_millis(1300);
const RUNNERS: usize = 12;
/// Jobs that the killed entry coordinates in a round.
const JOBS: usize = 18;
const ROUNDS: usize = 8;
/// Time for which the owner stands still.
const STALL_TIME: Duration = Duration::from_millis(365);
/// Share of the orders that are late, in percent: the default of `applied_late`.
const LATE_PERCENT: u32 = 50;
/// Time after the kill until which orders are late.
const LATE_TIME: Duration = Duration::from_millis(1280);
/// Time of a round, in which all jobs end.
const ROUND_TIME: Duration = Duration::from_millis(5500);
/// The entry that is killed. It is in a zone without runners.
const KILLED: usize = 5;
/// The entry to which the clients send again.
const SECOND_ENTRIES: [usize; 2] = [3, 4];

#[derive(Default)]
struct Seen {
    /// Runners on which each task runs.
    running: BTreeMap<String, Vec<String>>,
    starts: usize,
    broken: Vec<String>,
}

pub fn play(has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let mut cluster = Cluster::start(small_deployment(), Arc::clone(record))?;
    let result = play_on(&mut cluster, has_trouble, record);
    cluster.close();
    result
}

fn play_on(cluster: &mut Cluster, has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    make_ready(cluster, 1500)?;
    let seen = Arc::new(Mutex::new(Seen::default()));
    let observer = {
        let seen = Arc::clone(&seen);
        Arc::new(move |event: Event| observe(&seen, event))
    };
    let runners: Vec<_> = (0..RUNNERS)
        .map(|n| new_runner(cluster, n, record, &observer))
        .collect();
    for runner in &runners {
        runner.start(kind(&["a", "r1-1"]))?;
    }
    wait_until("the runners have owners", || {
        runners.iter().all(|runner| runner.heartbeat_addr().is_some())
    })?;
    let is_over = Arc::new(AtomicBool::new(false));
    let daemons = SECOND_ENTRIES.map(|entry| (cluster.frontend(entry), cluster.readiness(entry)));
    let rotation = Rotation::start(daemons.to_vec());
    let clients = start_clients(6, &rotation, record, &is_over, |_| {
        Job::of_one_task('a', 150, TASK_CPU)
    });
    thread::sleep(CONTACT);
    for round in 0..ROUNDS {
        record.line(&format!("round {round}"));
        play_round(cluster, has_trouble, record, &runners)?;
        if !seen.lock().unwrap().broken.is_empty() {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().unwrap();
    let summary = format!("{} starts", seen.starts);
    let broken = seen.broken.clone();
    Ok(Verdict { broken, summary })
}

/// Hands in jobs at one entry, kills it, and sends the jobs again.
fn play_round(
    cluster: &mut Cluster,
    has_trouble: bool,
    record: &Arc<Record>,
    runners: &[Arc<Runner>],
) -> io::Result<()> {
    let first = cluster.frontend(KILLED);
    let mut submitting = Vec::new();
    for number in 0..JOBS {
        let second = cluster.frontend(SECOND_ENTRIES[number % SECOND_ENTRIES.len()]);
        let record = Arc::clone(record);
        submitting.push(thread::spawn(move || {
            submit_twice(number, first, second, &record)
        }));
    }
    // The owner has just heard the other entry when it stops.
    thread::sleep(Duration::from_millis(10 * JOBS as u64 * 3 / 4));
    let start = Instant::now();
    if has_trouble {
        let owner = runners[0]
            .heartbeat_addr()
            .and_then(|addr| cluster.machine_at(addr.ip()));
        let owner = owner.ok_or_else(|| io::Error::other("the runners have no owner"))?;
        cluster.signal(owner, SIGSTOP, "SIGSTOP");
        for runner in runners {
            runner.set_late_percent(LATE_PERCENT);
        }
        let stalled = Instant::now();
        thread::sleep(Duration::from_millis(20));
        cluster.signal(KILLED, SIGKILL, "SIGKILL");
        let killed = Instant::now();
        thread::sleep(STALL_TIME.saturating_sub(stalled.elapsed()));
        cluster.signal(owner, SIGCONT, "SIGCONT");
        cluster.wait(KILLED, Duration::from_secs(2));
        thread::sleep(LATE_TIME.saturating_sub(killed.elapsed()));
        for runner in runners {
            runner.set_late_percent(0);
        }
    }
    thread::sleep(ROUND_TIME.saturating_sub(start.elapsed()));
    for thread in submitting {
        let _ = thread.join();
    }
    if has_trouble {
        cluster.launch(KILLED)?;
        thread::sleep(CONTACT + Duration::from_secs(1));
    }
    Ok(())
}

/// Hands a job in, and after a broken connection sends it again `retransmitMs` later.
fn submit_twice(number: usize, first: std::net::SocketAddr, second: std::net::SocketAddr, record: &Record) {
    thread::sleep(Duration::from_millis(10 * number as u64));
    let job = Job {
        deadline_ms: 5000,
        ..Job::of_one_task('b', 3000, TASK_CPU)
    };
    if job.submit(first, record) == 0 {
        thread::sleep(RETRANSMIT);
        job.submit(second, record);
    }
}

fn observe(seen: &Mutex<Seen>, event: Event) {
    let mut seen = seen.lock().unwrap();
    match event {
        Event::Start {
            at_ms, runner, task, ..
        } => {
            seen.starts += 1;
            let on = seen.running.entry(task.to_owned()).or_default();
            on.push(runner.to_owned());
            if on.len() > 1 {
                let line = format!(
                    "TWICE: {task} runs on {on:?} at the same time from {:.3} s on",
                    at_ms as f64 / 1000.0
                );
                seen.broken.push(line);
            }
        }
        Event::End { runner, task } => {
            if let Some(on) = seen.running.get_mut(task) {
                on.retain(|other| other != runner);
            }
        }
        Event::DrainingAcknowledged { .. } => {}
    }
}
