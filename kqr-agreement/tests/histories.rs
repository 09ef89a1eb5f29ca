//! Randomized fault histories with fixed seeds: message loss, duplication and reordering, crashes, isolated
//! members, clock drift and voter changes.

mod network;

use std::{collections::BTreeSet, time::Duration};

use kqr_agreement::{Input, ProposalResult, ReadMode, RequestId, VoterChange, VoterId};
use network::{FIRST_CHANGE_REQUEST, Network};
use rand::RngExt;

const HISTORY_COUNT: u64 = 10_000;
/// First request identifier of reads at the leader.
const FIRST_READ_REQUEST: u64 = 1 << 41;
const THREAD_COUNT: u64 = 4;

fn random_member(network: &mut Network) -> VoterId {
    let ids = network.ids();
    let position = network.rng.random_range(0..ids.len());
    ids[position].clone()
}

/// Returns the learners that `member` knows.
fn learners(network: &Network, member: &VoterId) -> BTreeSet<VoterId> {
    let machine = network.nodes[member].machine.as_ref();
    let learners = machine.map(|machine| machine.configuration().learners.clone());
    learners.unwrap_or_default()
}

fn change_voters(network: &mut Network, step: u64) {
    let member = random_member(network);
    let leader = network.leader().unwrap_or_else(|| member.clone());
    let change = match network.rng.random_range(0..4) {
        0 => VoterChange::AddLearner(member),
        1 => VoterChange::Promote(member),
        2 => VoterChange::Remove(member),
        _ => VoterChange::Replace {
            voters: BTreeSet::from([member]),
            learners: learners(network, &leader),
        },
    };
    network.handle(
        &leader,
        Input::ChangeVoters {
            request: RequestId(FIRST_CHANGE_REQUEST + step),
            change,
        },
    );
}

fn inject_fault(network: &mut Network, step: u64) {
    let member = random_member(network);
    match network.rng.random_range(0..14) {
        0 => network.crash(&member),
        1..=3 => network.restart(&member),
        4 => network.isolate(&member, true),
        5..=6 => network.isolate(&member, false),
        7 => network.compact(&member),
        8 => network.read(&member, step),
        9 => change_voters(network, step),
        10..=11 => {
            let other = random_member(network);
            network.blocked_links.insert((member, other));
        }
        12 => network.blocked_links.clear(),
        _ => {}
    }
}

/// Runs one history and returns the number of acknowledged commands and of completed reads.
fn run_history(seed: u64) -> (usize, u64) {
    let reads = if seed.is_multiple_of(2) {
        ReadMode::Index
    } else {
        ReadMode::Lease
    };
    let voters = 3 + 2 * (seed % 2) as usize;
    let mut network = Network::new(seed, voters, 1, reads);
    network.loss_percent = network.rng.random_range(0..20);
    network.duplicate_percent = 10;
    network.max_delay_micros = network.rng.random_range(1_000..60_000);
    network.crash_one_in = if seed.is_multiple_of(3) { 400 } else { 4_000 };
    for step in 0..60 {
        let span = Duration::from_millis(network.rng.random_range(0..150));
        network.run(span);
        inject_fault(&mut network, step);
        let to = network.leader().unwrap_or_else(|| network.ids()[0].clone());
        network.propose(&to, step);
        network.read(&to, FIRST_READ_REQUEST + step);
    }
    network.loss_percent = 0;
    network.blocked_links.clear();
    network.crash_one_in = 0;
    for id in network.ids() {
        network.restart(&id);
        network.isolate(&id, false);
    }
    network.run(Duration::from_secs(3));
    let leader = network.leader();
    let leader = leader.unwrap_or_else(|| panic!("seed {seed}: no leader after 3 s"));
    network.propose(&leader, 1_000);
    network.read(&leader, 1_000);
    network.run(Duration::from_millis(500));
    let probe = network.results.get(&1_000);
    let is_committed = matches!(probe, Some(ProposalResult::Committed { .. }));
    assert!(is_committed, "seed {seed}: command not committed: {probe:?}");
    network.check_acknowledged();
    let is_acknowledged = |result: &&ProposalResult| matches!(result, ProposalResult::Committed { .. });
    (
        network.results.values().filter(is_acknowledged).count(),
        network.completed_reads,
    )
}

#[test]
fn acknowledged_commands_survive_random_faults() {
    let run_partition = |partition: u64| {
        let mut totals = (0, 0);
        for seed in (partition..HISTORY_COUNT).step_by(THREAD_COUNT as usize) {
            let (acknowledged, reads) = run_history(seed);
            totals = (totals.0 + acknowledged, totals.1 + reads);
        }
        totals
    };
    let totals: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREAD_COUNT)
            .map(|partition| scope.spawn(move || run_partition(partition)))
            .collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let acknowledged: usize = totals.iter().map(|total| total.0).sum();
    let reads: u64 = totals.iter().map(|total| total.1).sum();
    println!("{HISTORY_COUNT} histories, {acknowledged} commands acknowledged, {reads} reads completed");
    assert!(acknowledged as u64 > 10 * HISTORY_COUNT);
    assert!(reads > 10 * HISTORY_COUNT);
}
