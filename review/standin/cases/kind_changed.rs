//! Runners crash and start again under their ids, as another kind. A task that needs the former kind must not start there.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use super::{CONTACT, TASK_CPU, kind, make_ready, new_runner, small_deployment, wait_until};
use crate::{
    Verdict,
    clients::{Job, Rotation, start_clients},
    cluster::Cluster,
    record::Record,
    runner::Event,
};

const RUNNERS: usize = 15;
/// Runners that crash at a time: 2 of 15, below the share of 0.14 of the site file.
const CRASHED: usize = 2;
/// Number of crashes, each of other runners, until the rule is broken.
const ROUNDS: usize = 3;
/// First digit of the jobs that need a runner of the kind `b`.
const NEEDS_B: char = 'b';

#[derive(Default)]
struct Seen {
    starts: usize,
    starts_of_b: usize,
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
    for (number, runner) in runners.iter().enumerate() {
        let name = if number < RUNNERS / 2 { "b" } else { "a" };
        runner.start(kind(&[name, "r1-1"]))?;
    }
    wait_until("the runners have owners", || {
        runners.iter().all(|runner| runner.heartbeat_addr().is_some())
    })?;
    let is_over = Arc::new(AtomicBool::new(false));
    let daemons = (3..6).map(|entry| (cluster.frontend(entry), cluster.readiness(entry)));
    let rotation = Rotation::start(daemons.collect());
    let clients = start_clients(18, &rotation, record, &is_over, |client| {
        let needs_b = client % 6 < 5;
        Job {
            constraints: if needs_b { "b" } else { "" },
            ..Job::of_one_task(if needs_b { NEEDS_B } else { 'a' }, 120, TASK_CPU)
        }
    });
    thread::sleep(CONTACT);
    for round in 0..ROUNDS {
        if has_trouble {
            let crashed = &runners[round * CRASHED..(round + 1) * CRASHED];
            for runner in crashed {
                runner.crash();
            }
            thread::sleep(Duration::from_millis(500));
            for runner in crashed {
                runner.start(kind(&["a", "r1-1"]))?;
            }
        }
        thread::sleep(Duration::from_secs(5));
        if !seen.lock().unwrap().broken.is_empty() {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().unwrap();
    let summary = format!(
        "{} starts, {} of them of tasks that need the label b",
        seen.starts, seen.starts_of_b
    );
    let broken = seen.broken.clone();
    Ok(Verdict { broken, summary })
}

fn observe(seen: &Mutex<Seen>, event: Event) {
    let Event::Start {
        at_ms,
        runner,
        life,
        task,
        labels,
        ..
    } = event
    else {
        return;
    };
    let mut seen = seen.lock().unwrap();
    seen.starts += 1;
    if !task.starts_with(NEEDS_B) {
        return;
    }
    seen.starts_of_b += 1;
    if !labels.iter().any(|label| label == "b") {
        seen.broken.push(format!(
            "ROUTE: {task}, which needs the label b, started at {:.3} s on {runner}, which has the labels {labels:?} in life {life}",
            at_ms as f64 / 1000.0
        ));
    }
}
