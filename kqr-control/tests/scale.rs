//! Propagation time and control traffic of a system of 15 data centres in 4 regions, in virtual time.

mod simulation;

use std::time::Duration;

use kqr_settings::{Answer, Version};
use kqr_types::{InstanceId, rendezvous_weight};
use rand::RngExt;
use simulation::{Simulation, control_id, id, set_command};

const CONTROL_COUNT: usize = 5;
const DATA_CENTRE_COUNT: usize = 15;
const ENTRIES_PER_DATA_CENTRE: usize = 6;
/// Maximum time from the acceptance of a change until it is in force on all reachable instances.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Maximum control traffic of one daemon, sent and received together.
const MAX_BYTES_PER_SECOND: u64 = 4096;
/// Traffic of the pings between control instances: a ping and its answer every 5 s on each of 8 connections.
const PING_BYTES_PER_SECOND: u64 = 8 * 2 * (17 + 52) / 5;
/// Interval between changes at 16,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(5400);

fn large_simulation(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, CONTROL_COUNT);
    for data_centre in 0..DATA_CENTRE_COUNT {
        for number in 0..ENTRIES_PER_DATA_CENTRE {
            let name = format!("entry-{data_centre}-{number}");
            let mut peers: Vec<InstanceId> = (0..CONTROL_COUNT).map(control_id).collect();
            peers.sort_by_key(|peer| rendezvous_weight(&name, peer.as_str(), 1));
            sim.add_follower(&name, peers);
        }
    }
    sim.run_for(Duration::from_secs(8));
    sim
}

fn submit_change(sim: &mut Simulation, number: u64) -> Version {
    let path = format!("teams/team-{}/quota", number % 500);
    let command = set_command(
        &format!("c{number}"),
        number,
        &path,
        &format!("{}/s", number % 100),
    );
    match sim.submit_to_leader(&command, Duration::from_secs(8)) {
        Some(Answer::Accepted { version, .. }) => version,
        other => panic!("{other:?}"),
    }
}

/// Asserts that all instances except `unreachable` applied `version` in time after it was accepted.
fn check_propagation(
    sim: &Simulation,
    version: Version,
    accepted: kqr_types::Instant,
    unreachable: &[InstanceId],
) {
    for entry in sim.followers() {
        if unreachable.contains(&entry) {
            continue;
        }
        let applied = sim.applied(&entry);
        let at = applied.iter().find(|(_, applied)| *applied >= version);
        let (at, _) = at.unwrap_or_else(|| panic!("{entry} never applied {version}"));
        let elapsed = at.since(accepted);
        assert!(
            elapsed <= MAX_PROPAGATION_TIME,
            "{entry} applied {version} after {elapsed:?}"
        );
    }
}

#[test]
fn a_change_is_in_force_on_all_reachable_instances_within_2_s() {
    let mut sim = large_simulation(1);
    let unreachable: Vec<InstanceId> = (0..6).map(|number| id(&format!("entry-14-{number}"))).collect();
    let controls: Vec<InstanceId> = (0..CONTROL_COUNT).map(control_id).collect();
    let mut accepted = Vec::new();
    for number in 0..30 {
        if number == 10 {
            sim.set_partition(&unreachable, &controls, true);
        }
        if number == 20 {
            let leader = sim.leader().unwrap();
            sim.crash(&leader);
        }
        let version = submit_change(&mut sim, number);
        accepted.push((version, sim.now));
        let pause = sim.rng.random_range(10..3000);
        sim.run_for(Duration::from_millis(pause));
    }
    sim.run_for(Duration::from_secs(4));
    for (version, at) in accepted {
        check_propagation(&sim, version, at, &unreachable);
    }
}

#[test]
fn control_traffic_of_each_daemon_is_at_most_4_kb_a_second_at_16000_changes_a_day() {
    let mut sim = large_simulation(2);
    sim.bytes_by_instance.clear();
    let start = sim.now;
    for number in 0..60 {
        let due = start + CHANGE_INTERVAL * number as u32;
        let wait = due.since(sim.now);
        sim.run_for(wait);
        submit_change(&mut sim, number);
    }
    let seconds = sim.now.since(start).as_secs();
    let mut largest = (0, "");
    for (name, bytes) in &sim.bytes_by_instance {
        let rate = bytes / seconds + PING_BYTES_PER_SECOND;
        if rate > largest.0 {
            largest = (rate, name.as_str());
        }
    }
    println!("largest: {} bytes a second at {}", largest.0, largest.1);
    for (name, bytes) in &sim.bytes_by_instance {
        let rate = bytes / seconds + PING_BYTES_PER_SECOND;
        assert!(rate <= MAX_BYTES_PER_SECOND, "{name}: {rate} bytes a second");
    }
}
