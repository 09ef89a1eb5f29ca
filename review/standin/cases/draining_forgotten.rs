//! A runner says that it is draining. Then the platform restarts two machines in turn: the core machine that leads, and
//! the entry that gives the runner its orders. The next entry must give it no task.

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
    cluster::{Cluster, SIGTERM},
    record::Record,
    runner::Event,
};

/// `drainMs` of the small sites.
const DRAIN_MS: u64 = 2000;
/// Time from the acknowledgement to the end of the runner: `drainMs` and "at times many seconds".
const LINGER: Duration = Duration::from_secs(9);
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
    let runners: Vec<_> = (0..4)
        .map(|n| new_runner(cluster, n, record, &observer))
        .collect();
    for runner in &runners {
        runner.start(kind(&["a", "r1-1"]))?;
    }
    let leaving = &runners[0];
    wait_until("the runner has an owner", || leaving.heartbeat_addr().is_some())?;
    let is_over = Arc::new(AtomicBool::new(false));
    let daemons = (3..6).map(|entry| (cluster.frontend(entry), cluster.readiness(entry)));
    let rotation = Rotation::start(daemons.collect());
    let clients = start_clients(12, &rotation, record, &is_over, |_| {
        Job::of_one_task('a', 250, TASK_CPU)
    });
    wait_until("the runner has work", || leaving.running_count() > 0)?;
    thread::sleep(CONTACT + Duration::from_millis(1500));
    leaving.drain();
    let mut calm_from_ms = 0;
    let mut owner_token = 0;
    let mut terminated = None;
    if has_trouble {
        thread::sleep(Duration::from_millis(300));
        let leader = cluster
            .leader()
            .ok_or_else(|| io::Error::other("no leader is known"))?;
        cluster.stop(leader);
        thread::sleep(Duration::from_millis(300));
        cluster.launch(leader)?;
        let started_at_ms = record.now_ms();
        thread::sleep(CONTACT + Duration::from_millis(400));
        calm_from_ms = started_at_ms + CONTACT.as_millis() as u64;
        owner_token = seen
            .lock()
            .unwrap()
            .starts
            .iter()
            .map(|start| start.2)
            .max()
            .unwrap_or(0);
        let owner = leaving
            .heartbeat_addr()
            .and_then(|addr| cluster.machine_at(addr.ip()));
        let owner = owner.ok_or_else(|| io::Error::other("the runner has no owner"))?;
        cluster.signal(owner, SIGTERM, "SIGTERM");
        terminated = Some(owner);
    }
    let acknowledged_at_ms = seen.lock().unwrap().acknowledged_at_ms;
    let acknowledged_at_ms =
        acknowledged_at_ms.ok_or_else(|| io::Error::other("draining has no acknowledgement"))?;
    let since = Duration::from_millis(record.now_ms().saturating_sub(acknowledged_at_ms));
    thread::sleep(LINGER.saturating_sub(since));
    leaving.leave();
    if let Some(owner) = terminated {
        cluster.wait(owner, Duration::from_secs(cluster.deployment.grace_s));
        cluster.launch(owner)?;
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let seen = seen.lock().unwrap();
    let mut broken = Vec::new();
    for (at_ms, task, token) in &seen.starts {
        let after_ms = at_ms.saturating_sub(acknowledged_at_ms);
        // A start that follows the restarts must be of the next owner, which was in touch all the while.
        let is_in_touch = !has_trouble || (*at_ms >= calm_from_ms && *token > owner_token);
        if after_ms > DRAIN_MS && is_in_touch {
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
        Event::End { .. } => {}
    }
}
