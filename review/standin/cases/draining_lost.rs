//! An entry acknowledges that a runner is draining, and loses power right afterwards. The next owner of the runner must give
//! it no task.

use std::{
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
    cluster::{Cluster, SIGKILL, SIGSTOP},
    record::Record,
    runner::Event,
};

/// `drainMs` of the small sites.
const DRAIN_MS: u64 = 2000;
/// Time from the acknowledgement to the end of the runner: `drainMs` "and a little longer".
const LINGER: Duration = Duration::from_millis(4500);
/// Time without power, as in the site's troubles.
const DARK_TIME: Duration = Duration::from_secs(3);
const LEAVING_RUNNER: &str = "i-0000";

#[derive(Default)]
struct Seen {
    acknowledged_at_ms: Option<u64>,
    /// Starts on the leaving runner: time, task, token.
    starts: Vec<(u64, String, u64)>,
    all_starts: usize,
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
    let runners: Vec<_> = (0..4).map(|n| new_runner(cluster, n, record, &observer)).collect();
    for runner in &runners {
        runner.start(kind(&["a", "r1-1"]))?;
    }
    let leaving = &runners[0];
    wait_until("the runners have owners", || {
        runners.iter().all(|runner| runner.heartbeat_addr().is_some())
    })?;
    let is_over = Arc::new(AtomicBool::new(false));
    let daemons = (3..6).map(|entry| (cluster.frontend(entry), cluster.readiness(entry)));
    let rotation = Rotation::start(daemons.collect());
    let clients = start_clients(18, &rotation, record, &is_over, |_| Job::of_one_task('a', 250, TASK_CPU));
    thread::sleep(CONTACT + Duration::from_millis(1500));
    let owner = leaving.heartbeat_addr().and_then(|addr| cluster.machine_at(addr.ip()));
    let owner = owner.ok_or_else(|| io::Error::other("the runner has no owner"))?;
    leaving.drain_with_next_heartbeat();
    let deadline = Instant::now() + Duration::from_secs(5);
    while seen.lock().unwrap().acknowledged_at_ms.is_none() {
        if Instant::now() > deadline {
            return Err(io::Error::other("draining has no acknowledgement"));
        }
        thread::sleep(Duration::from_micros(300));
    }
    let acknowledged = Instant::now();
    if has_trouble {
        // A stopped process answers as little as a machine without power.
        cluster.signal(owner, SIGSTOP, "SIGSTOP (power is lost)");
    }
    let owner_token = seen.lock().unwrap().starts.iter().map(|start| start.2).max().unwrap_or(0);
    if has_trouble {
        thread::sleep(DARK_TIME.saturating_sub(acknowledged.elapsed()));
        cluster.signal(owner, SIGKILL, "SIGKILL (power was lost)");
        cluster.wait(owner, Duration::from_secs(2));
        cluster.launch(owner)?;
    }
    thread::sleep(LINGER.saturating_sub(acknowledged.elapsed()));
    leaving.leave();
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().unwrap();
    let acknowledged_at_ms = seen.acknowledged_at_ms.unwrap_or(0);
    let mut broken = Vec::new();
    for (at_ms, task, token) in &seen.starts {
        let after_ms = at_ms.saturating_sub(acknowledged_at_ms);
        // After the loss of power, a start counts only if the next owner, which was in touch all the while, sent it.
        if after_ms > DRAIN_MS && (!has_trouble || *token > owner_token) {
            broken.push(format!(
                "DRAIN: {task} started on {LEAVING_RUNNER} (token {token}) {after_ms} ms after it was acknowledged that it is draining"
            ));
        }
    }
    let summary = format!(
        "{} starts, {} of them on the leaving runner; draining acknowledged at {:.3} s",
        seen.all_starts,
        seen.starts.len(),
        acknowledged_at_ms as f64 / 1000.0
    );
    Ok(Verdict { broken, summary })
}

fn observe(seen: &Mutex<Seen>, event: Event) {
    let mut seen = seen.lock().unwrap();
    match event {
        Event::Start {
            at_ms,
            runner,
            task,
            token,
            ..
        } => {
            seen.all_starts += 1;
            if runner == LEAVING_RUNNER {
                seen.starts.push((at_ms, task.to_owned(), token));
            }
        }
        Event::DrainingAcknowledged { at_ms } => {
            seen.acknowledged_at_ms.get_or_insert(at_ms);
        }
    }
}
