//! A client hands a job in, and cancels it a second later on a new connection. Meanwhile another daemon of the zone is back
//! in rotation after a restart, so that the platform forwards the new connection there.

use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::{CONTACT, TASK_CPU, kind, make_ready, new_runner, small_deployment, wait_until};
use crate::{
    Verdict,
    clients::{HOST, Job, PREFIX, Rotation},
    cluster::Cluster,
    http,
    record::Record,
    runner::Event,
};

/// `cancel_ms` of the small sites.
const CANCEL_MS: u64 = 3000;
/// `killGraceMs` of the small sites.
const KILL_GRACE_MS: u64 = 50;
/// Daemon of the first zone that is restarted.
const RESTARTED: usize = 4;
/// Client whose connections the platform forwards to the restarted daemon while both are in rotation.
const CLIENT: usize = 1;

pub fn play(has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let mut cluster = Cluster::start(small_deployment(), Arc::clone(record))?;
    let result = play_on(&mut cluster, has_trouble, record);
    cluster.close();
    result
}

fn play_on(cluster: &mut Cluster, has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    make_ready(cluster, 30_000)?;
    let starts = Arc::new(Mutex::new(Vec::new()));
    let observer = {
        let starts = Arc::clone(&starts);
        Arc::new(move |event: Event| {
            if let Event::Start { at_ms, task, .. } = event {
                starts.lock().unwrap().push((at_ms, task.to_owned()));
            }
        })
    };
    let runners: Vec<_> = (0..2)
        .map(|n| new_runner(cluster, n, record, &observer))
        .collect();
    for runner in &runners {
        runner.start(kind(&["a", "r1-1"]))?;
    }
    wait_until("the runners have owners", || {
        runners.iter().all(|runner| runner.heartbeat_addr().is_some())
    })?;
    let daemons = [3, RESTARTED].map(|entry| (cluster.frontend(entry), cluster.readiness(entry)));
    let rotation = Rotation::start(daemons.to_vec());
    thread::sleep(CONTACT);
    if has_trouble {
        cluster.stop(RESTARTED);
        thread::sleep(Duration::from_millis(500));
    }
    let coordinator = rotation.pick(CLIENT);
    // 28 tasks of 1.2 s, of which four run at a time.
    let job = Job {
        steps: vec![28],
        deadline_ms: 20_000,
        ..Job::of_one_task('d', 1200, TASK_CPU)
    };
    let (id, path) = (job.id.clone(), format!("{PREFIX}{}", job.id));
    let submitting = {
        let record = Arc::clone(record);
        thread::spawn(move || job.submit(coordinator, &record))
    };
    if has_trouble {
        cluster.launch(RESTARTED)?;
        wait_until("the daemon is back in rotation", || {
            rotation.pick(CLIENT) != coordinator
        })?;
    }
    // The restart lies further back than `contactMs`.
    thread::sleep(CONTACT);
    let daemon = rotation.pick(CLIENT);
    record.line(&format!("client cancels job {id} at {daemon}"));
    let answer = http::call(
        daemon,
        "DELETE",
        &path,
        &[("Host", HOST)],
        "",
        Duration::from_secs(2),
    )?;
    let acknowledged_at_ms = record.line(&format!(
        "client gets {} for the cancelling of {id}",
        answer.status
    ));
    let start = Instant::now();
    thread::sleep(Duration::from_millis(CANCEL_MS + KILL_GRACE_MS + 1000));
    let running: usize = runners.iter().map(|runner| runner.running_count()).sum();
    let after_ms = start.elapsed().as_millis();
    let mut broken = Vec::new();
    if running > 0 {
        broken.push(format!(
            "UNASKED: {running} tasks of {id} run {after_ms} ms after its cancelling was acknowledged with {}",
            answer.status
        ));
    }
    let status = submitting.join().unwrap_or(0);
    let starts = starts.lock().unwrap();
    for (at_ms, task) in starts.iter() {
        let after_ms = at_ms.saturating_sub(acknowledged_at_ms);
        if after_ms > CANCEL_MS {
            broken.push(format!(
                "UNASKED: {task} started {after_ms} ms after the cancelling of its job was acknowledged with {}",
                answer.status
            ));
        }
    }
    let summary = format!(
        "{} starts; the cancelling got {}, the job got {status}",
        starts.len(),
        answer.status
    );
    Ok(Verdict { broken, summary })
}
