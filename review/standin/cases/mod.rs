mod cancel_elsewhere;
mod draining_forgotten;
mod kind_changed;
mod owner_stalls;
mod steps_in_sequence;

use std::{
    io,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    clients::{SERVICE, configuration},
    cluster::{Class, Cluster, Deployment, is_ready},
    record::Record,
    runner::{Event, Kind, Runner, RunnerOptions},
};

/// Processor needs of a task, as on the small sites: two fit on a runner.
pub const TASK_CPU: u64 = 6800;
/// `contactMs` of the small sites.
pub const CONTACT: Duration = Duration::from_millis(3000);

pub fn play(case: &str, has_trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    match case {
        "cancel-elsewhere" => cancel_elsewhere::play(has_trouble, record),
        "draining-forgotten" => draining_forgotten::play(has_trouble, record),
        "kind-changed" => kind_changed::play(has_trouble, record),
        "owner-stalls" => owner_stalls::play(has_trouble, record),
        "steps-in-sequence" => steps_in_sequence::play(has_trouble, record),
        _ => Err(io::Error::other("there is no such case")),
    }
}

/// Returns a small deployment: three core machines in three zones, two frontend machines in the first zone and one in
/// the second.
pub fn small_deployment() -> Deployment {
    Deployment {
        entries: vec!["z-a", "z-a", "z-b"],
        controls: vec!["z-a", "z-b", "z-c"],
        cpu_share: 0.25,
        max_lease_ms: 1000,
        grace_s: 6,
    }
}

/// Returns the runner `number` of the first zone.
pub fn new_runner<O>(cluster: &Cluster, number: usize, record: &Arc<Record>, observer: &Arc<O>) -> Arc<Runner>
where
    O: Fn(Event) + Send + Sync + 'static,
{
    let options = RunnerOptions {
        id: format!("i-{number:04}"),
        addr: cluster.runner(number),
        zone: "z-a".to_owned(),
        service: SERVICE.to_owned(),
        control_plane: cluster.control_plane(),
        cpu_of_task: TASK_CPU,
    };
    let observer = Arc::clone(observer);
    Runner::new(options, Arc::clone(record), observer)
}

pub fn kind(labels: &[&str]) -> Kind {
    Kind {
        labels: labels.iter().map(|label| (*label).to_owned()).collect(),
        cpu: 16_000,
        mem_mb: 65_536,
    }
}

/// Sends the first configuration and waits until all entries are ready.
pub fn make_ready(cluster: &Cluster, timeout_ms: u64) -> io::Result<()> {
    if !cluster.send_configuration(&configuration(1, timeout_ms), Duration::from_secs(20)) {
        return Err(io::Error::other("no configuration was acknowledged"));
    }
    for (number, machine) in cluster.machines.iter().enumerate() {
        if machine.class == Class::Entry {
            wait_until("an entry is ready", || is_ready(cluster.readiness(number)))?;
        }
    }
    Ok(())
}

pub fn wait_until<C>(what: &str, mut condition: C) -> io::Result<()>
where
    C: FnMut() -> bool,
{
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > Duration::from_secs(20) {
            return Err(io::Error::other(format!("it takes too long until {what}")));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
