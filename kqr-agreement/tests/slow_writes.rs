//! Elections and changes while each write of each member takes long.

mod network;

use std::time::Duration;

use kqr_agreement::{ProposalResult, ReadMode};
use network::Network;

const KNOWN_FAILURES: &str = include_str!("../../KNOWN-RED.txt");
const SEED_COUNT: u64 = 50;
const SECOND: Duration = Duration::from_secs(1);
/// Time after a start within which a change has to be accepted.
const RECOVERY: Duration = Duration::from_secs(12);
/// Write time of a disk that takes 30 times as long as usual.
const SLOW_WRITE: Duration = Duration::from_millis(270);

/// Creates three voters with the timing of control instances, each write of which takes `write_time`.
fn started(seed: u64, write_time: Duration) -> Network {
    let mut network = Network::new(seed, 3, 0, ReadMode::Index);
    network.write_time = write_time;
    for node in network.nodes.values_mut() {
        node.options.election_timeout = Duration::from_millis(450);
        node.options.heartbeat = Duration::from_millis(100);
        node.options.spread_divisor = 2;
    }
    for id in network.ids() {
        network.crash(&id);
        network.restart(&id);
    }
    network
}

/// Proposes a change each second. Returns whether one is committed in time.
fn is_change_accepted(seed: u64, write_time: Duration) -> bool {
    let mut network = started(seed, write_time);
    let end = network.now + RECOVERY;
    let mut command = 0;
    while network.now < end {
        network.run(SECOND);
        let Some(leader) = network.leader() else {
            continue;
        };
        command += 1;
        network.propose(&leader, command);
    }
    let mut results = network.results.values();
    results.any(|result| matches!(result, ProposalResult::Committed { .. }))
}

/// Returns the seeds with which no change is accepted.
fn failing_seeds(write_time: Duration) -> Vec<u64> {
    let mut failing = Vec::new();
    for seed in 0..SEED_COUNT {
        if !is_change_accepted(seed, write_time) {
            failing.push(seed);
        }
    }
    failing
}

#[test]
fn a_change_is_accepted_although_each_write_takes_100_ms() {
    assert_eq!(failing_seeds(Duration::from_millis(100)), []);
}

/// A candidate stops waiting for votes before its own vote and those of the others are written.
#[test]
fn a_change_is_accepted_although_all_disks_are_slow() {
    let name = "a_change_is_accepted_although_all_disks_are_slow";
    let failing = failing_seeds(SLOW_WRITE);
    let entry = format!("test {name}:");
    if KNOWN_FAILURES.lines().any(|line| line.starts_with(&entry)) {
        assert!(!failing.is_empty(), "{name} passes, but is listed as failing");
        println!("FAILS, known: {name}: seeds {failing:?}");
        return;
    }
    assert_eq!(failing, []);
}
