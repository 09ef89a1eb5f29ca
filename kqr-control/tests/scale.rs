//! The stated targets at 15 data centres in 4 regions, in virtual time.

mod system;

use std::time::Duration;

use kqr_settings::{Answer, Version};
use kqr_types::{InstanceId, rendezvous_weight};
use rand::RngExt;
use system::{System, control_id, id, set};

const CONTROLS: usize = 5;
const DATA_CENTRES: usize = 15;
const ENTRIES_PER_DATA_CENTRE: usize = 6;
/// Longest time from acceptance until a change is in force on all reachable instances.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);
/// Largest number of control bytes a second of one daemon, sent and received together.
const BYTES_PER_SECOND: u64 = 4096;
/// Bytes a second of the pings between control instances: a ping and its answer each 5 s on 8 connections.
const PING_BYTES_PER_SECOND: u64 = 8 * 2 * (17 + 52) / 5;
/// Time between two changes at 16,000 a day.
const CHANGE_EVERY: Duration = Duration::from_millis(5400);

fn large_system(seed: u64) -> System {
    let mut system = System::new(seed, CONTROLS);
    for data_centre in 0..DATA_CENTRES {
        for number in 0..ENTRIES_PER_DATA_CENTRE {
            let name = format!("entry-{data_centre}-{number}");
            let mut peers: Vec<InstanceId> = (0..CONTROLS).map(control_id).collect();
            peers.sort_by_key(|peer| rendezvous_weight(&name, peer.as_str(), 1));
            system.add_follower(&name, peers);
        }
    }
    system.run(Duration::from_secs(8));
    system
}

fn change(system: &mut System, number: u64) -> Version {
    let path = format!("teams/team-{}/quota", number % 500);
    let command = set(
        &format!("c{number}"),
        number,
        &path,
        &format!("{}/s", number % 100),
    );
    match system.change_somewhere(&command, Duration::from_secs(8)) {
        Some(Answer::Accepted { version, .. }) => version,
        other => panic!("{other:?}"),
    }
}

/// Checks that all instances but those in `apart` have `version` in force in time after it was accepted.
fn check_in_force(system: &System, version: Version, accepted: kqr_types::Instant, apart: &[InstanceId]) {
    for entry in system.followers() {
        if apart.contains(&entry) {
            continue;
        }
        let applied = system.applied(&entry);
        let at = applied.iter().find(|(_, applied)| *applied >= version);
        let (at, _) = at.unwrap_or_else(|| panic!("{entry} never applied {version}"));
        let taken = at.since(accepted);
        assert!(
            taken <= IN_FORCE_WITHIN,
            "{entry} applied {version} after {taken:?}"
        );
    }
}

#[test]
fn a_change_is_in_force_on_all_reachable_instances_within_2_s() {
    let mut system = large_system(1);
    let apart: Vec<InstanceId> = (0..6).map(|number| id(&format!("entry-14-{number}"))).collect();
    let controls: Vec<InstanceId> = (0..CONTROLS).map(control_id).collect();
    let mut accepted = Vec::new();
    for number in 0..30 {
        if number == 10 {
            system.cut(&apart, &controls, true);
        }
        if number == 20 {
            let leader = system.leader().unwrap();
            system.crash(&leader);
        }
        let version = change(&mut system, number);
        accepted.push((version, system.now));
        let pause = system.rng.random_range(10..3000);
        system.run(Duration::from_millis(pause));
    }
    system.run(Duration::from_secs(4));
    for (version, at) in accepted {
        check_in_force(&system, version, at, &apart);
    }
}

#[test]
fn control_costs_each_daemon_at_most_4_kb_a_second_at_16000_changes_a_day() {
    let mut system = large_system(2);
    system.bytes.clear();
    let start = system.now;
    for number in 0..60 {
        let due = start + CHANGE_EVERY * number as u32;
        let wait = due.since(system.now);
        system.run(wait);
        change(&mut system, number);
    }
    let seconds = system.now.since(start).as_secs();
    let mut largest = (0, "");
    for (name, bytes) in &system.bytes {
        let rate = bytes / seconds + PING_BYTES_PER_SECOND;
        if rate > largest.0 {
            largest = (rate, name.as_str());
        }
    }
    println!("largest: {} bytes a second at {}", largest.0, largest.1);
    for (name, bytes) in &system.bytes {
        let rate = bytes / seconds + PING_BYTES_PER_SECOND;
        assert!(rate <= BYTES_PER_SECOND, "{name}: {rate} bytes a second");
    }
}
