//! Seeded fault histories: loss, repetition, reordering, crashes, isolation, drifting clocks, voter changes.

mod network;

use std::time::Duration;

use kqr_agreement::{Input, ProposalResult, ReadMode, RequestId, VoterChange, VoterId};
use network::{CHANGES, Network};
use rand::RngExt;

const HISTORIES: u64 = 10_000;
/// Requests of reads at the leader are numbered from here.
const READS: u64 = 1 << 41;
const THREADS: u64 = 4;

fn pick(network: &mut Network) -> VoterId {
    let ids = network.ids();
    let position = network.rng.random_range(0..ids.len());
    ids[position].clone()
}

fn change_voters(network: &mut Network, step: u64) {
    let member = pick(network);
    let leader = network.leader().unwrap_or_else(|| member.clone());
    let change = match network.rng.random_range(0..3) {
        0 => VoterChange::AddLearner(member),
        1 => VoterChange::Promote(member),
        _ => VoterChange::Remove(member),
    };
    network.handle(
        &leader,
        Input::ChangeVoters {
            request: RequestId(CHANGES + step),
            change,
        },
    );
}

fn disturb(network: &mut Network, step: u64) {
    let victim = pick(network);
    match network.rng.random_range(0..14) {
        0 => network.crash(&victim),
        1..=3 => network.restart(&victim),
        4 => network.isolate(&victim, true),
        5..=6 => network.isolate(&victim, false),
        7 => network.compact(&victim),
        8 => network.read(&victim, step),
        9 => change_voters(network, step),
        10..=11 => {
            let other = pick(network);
            network.cut.insert((victim, other));
        }
        12 => network.cut.clear(),
        _ => {}
    }
}

/// Runs one history; returns how many commands were acknowledged and how many reads were answered.
fn run_history(seed: u64) -> (usize, u64) {
    let reads = if seed.is_multiple_of(2) {
        ReadMode::Index
    } else {
        ReadMode::Lease
    };
    let voters = 3 + 2 * (seed % 2) as usize;
    let mut network = Network::new(seed, voters, 1, reads);
    network.loss_percent = network.rng.random_range(0..20);
    network.repeat_percent = 10;
    network.max_delay_micros = network.rng.random_range(1_000..60_000);
    network.crash_one_in = if seed.is_multiple_of(3) { 400 } else { 4_000 };
    for step in 0..60 {
        let span = Duration::from_millis(network.rng.random_range(0..150));
        network.run(span);
        disturb(&mut network, step);
        let to = network.leader().unwrap_or_else(|| network.ids()[0].clone());
        network.propose(&to, step);
        network.read(&to, READS + step);
    }
    network.loss_percent = 0;
    network.cut.clear();
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
    let probe = network.committed.get(&1_000);
    let is_committed = matches!(probe, Some(ProposalResult::Committed { .. }));
    assert!(is_committed, "seed {seed}: change not accepted: {probe:?}");
    network.check_acknowledged();
    let is_acknowledged = |result: &&ProposalResult| matches!(result, ProposalResult::Committed { .. });
    (
        network.committed.values().filter(is_acknowledged).count(),
        network.reads_done,
    )
}

#[test]
fn nothing_acknowledged_is_lost() {
    let run_part = |part: u64| {
        let mut totals = (0, 0);
        for seed in (part..HISTORIES).step_by(THREADS as usize) {
            let (acknowledged, reads) = run_history(seed);
            totals = (totals.0 + acknowledged, totals.1 + reads);
        }
        totals
    };
    let parts: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|part| scope.spawn(move || run_part(part)))
            .collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let acknowledged: usize = parts.iter().map(|part| part.0).sum();
    let reads: u64 = parts.iter().map(|part| part.1).sum();
    println!("{HISTORIES} histories, {acknowledged} commands acknowledged, {reads} reads answered");
    assert!(acknowledged as u64 > 10 * HISTORIES);
    assert!(reads > 10 * HISTORIES);
}
