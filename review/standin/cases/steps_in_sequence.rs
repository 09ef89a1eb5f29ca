//! A client hands in one job of two steps, the second of which depends on the first. Nothing else happens. All daemons
//! must go on answering probes and jobs.

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
    cluster::{Class, Cluster, SIGKILL, SIGTERM, is_ready},
    record::Record,
    runner::Event,
};

/// `retransmitMs` of the small sites.
const RETRANSMIT: Duration = Duration::from_millis(1300);
/// Number of times that the client sends its job.
const SENDS: usize = 3;
/// Time without an answer to a probe after which a process counts as hanging.
const HANG_TIME: Duration = Duration::from_secs(10);
/// First digit of the jobs of two steps.
const TWO_STEPS: char = 'c';

pub fn play(has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let mut cluster = Cluster::start(small_deployment(), Arc::clone(record))?;
    let result = play_on(&mut cluster, has_trouble, record);
    cluster.close();
    result
}

fn play_on(cluster: &mut Cluster, has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    make_ready(cluster, 1500)?;
    let starts = Arc::new(Mutex::new((0, 0)));
    let observer = {
        let starts = Arc::clone(&starts);
        Arc::new(move |event: Event| {
            if let Event::Start { task, .. } = event {
                let mut starts = starts.lock().unwrap();
                starts.0 += 1;
                starts.1 += usize::from(task.starts_with(TWO_STEPS));
            }
        })
    };
    let runners: Vec<_> = (0..4)
        .map(|n| new_runner(cluster, n, record, &observer))
        .collect();
    for runner in &runners {
        runner.start(kind(&["a", "r1-1"]))?;
    }
    wait_until("the runners have owners", || {
        runners.iter().all(|runner| runner.heartbeat_addr().is_some())
    })?;
    let is_over = Arc::new(AtomicBool::new(false));
    let entries: Vec<usize> = (0..cluster.machines.len())
        .filter(|number| cluster.machines[*number].class == Class::Entry)
        .collect();
    let daemons = entries
        .iter()
        .map(|entry| (cluster.frontend(*entry), cluster.readiness(*entry)));
    let rotation = Rotation::start(daemons.collect());
    let clients = start_clients(4, &rotation, record, &is_over, |_| {
        Job::of_one_task('a', 100, TASK_CPU)
    });
    thread::sleep(CONTACT);
    let job = Job {
        steps: vec![1, 1],
        is_chain: has_trouble,
        ..Job::of_one_task(TWO_STEPS, 100, TASK_CPU)
    };
    let mut status = 0;
    for send in 0..SENDS {
        status = job.submit(cluster.frontend(entries[send]), record);
        if status == 200 {
            break;
        }
        thread::sleep(RETRANSMIT);
    }
    let mut broken = Vec::new();
    let mut hanging = Vec::new();
    for entry in &entries {
        let name = &cluster.machines[*entry].name;
        let start = Instant::now();
        let mut has_answered = false;
        while !has_answered && start.elapsed() < HANG_TIME {
            has_answered = is_ready(cluster.readiness(*entry));
        }
        if !has_answered {
            record.line(&format!("{name} has not answered a probe for {HANG_TIME:?}"));
            hanging.push(*entry);
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for entry in hanging {
        cluster.signal(entry, SIGTERM, "SIGTERM");
    }
    thread::sleep(Duration::from_secs(cluster.deployment.grace_s));
    for entry in entries {
        if has_trouble && !cluster.wait(entry, Duration::ZERO) && !is_ready(cluster.readiness(entry)) {
            let name = cluster.machines[entry].name.clone();
            broken.push(format!(
                "Fault: {name} does not hand back the processor: it answers no probe and no job, and does not end after SIGTERM"
            ));
            cluster.signal(entry, SIGKILL, "SIGKILL");
        }
    }
    if status != 200 {
        broken.push(format!(
            "the job of two steps got no result in {SENDS} sends, the last ended with {status}"
        ));
    }
    let starts = starts.lock().unwrap();
    let summary = format!(
        "{} starts, {} of them of the job of two steps, which got {status}",
        starts.0, starts.1
    );
    Ok(Verdict { broken, summary })
}
