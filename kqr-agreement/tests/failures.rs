//! Named failures, each over several seeds.

mod network;

use std::time::Duration;

use kqr_agreement::{Configuration, Input, ProposalResult, ReadMode, RequestId, VoterChange};
use network::{CHANGES, Network, voter};

const SEEDS: u64 = 200;
const SECOND: Duration = Duration::from_secs(1);

fn settled(seed: u64, voters: usize, spares: usize) -> Network {
    let mut network = Network::new(seed, voters, spares, ReadMode::Lease);
    network.run(3 * SECOND);
    network
}

fn is_committed(network: &Network, command: u64) -> bool {
    matches!(
        network.committed.get(&command),
        Some(ProposalResult::Committed { .. })
    )
}

fn change(network: &mut Network, change: VoterChange) {
    let leader = network.leader().unwrap();
    network.handle(
        &leader,
        Input::ChangeVoters {
            request: RequestId(CHANGES),
            change,
        },
    );
    network.run(SECOND);
}

#[test]
fn changes_are_accepted_within_3_s_of_the_loss_of_the_leader() {
    for seed in 0..SEEDS {
        let mut network = settled(seed, 3, 0);
        let leader = network.leader().unwrap();
        network.crash(&leader);
        network.run(Duration::from_millis(2_900));
        let next = network
            .leader()
            .unwrap_or_else(|| panic!("seed {seed}: no leader"));
        network.propose(&next, 1);
        network.run(Duration::from_millis(100));
        assert!(is_committed(&network, 1), "seed {seed}");
    }
}

#[test]
fn an_instance_isolated_for_long_disturbs_nothing_when_it_returns() {
    for seed in 0..SEEDS {
        let mut network = settled(seed, 3, 0);
        let leader = network.leader().unwrap();
        let before = network.machine(&leader).role();
        let other = network.ids().into_iter().find(|id| *id != leader).unwrap();
        network.isolate(&other, true);
        for command in 0..500 {
            network.propose(&leader, command);
        }
        network.run(60 * SECOND);
        network.isolate(&other, false);
        network.run(2 * SECOND);
        assert_eq!(network.machine(&leader).role(), before, "seed {seed}");
        assert_eq!(network.nodes[&other].commands.len(), 500, "seed {seed}");
    }
}

#[test]
fn an_isolated_leader_neither_reads_nor_accepts_and_learns_nothing_false() {
    for seed in 0..SEEDS {
        let mut network = settled(seed, 3, 0);
        let old = network.leader().unwrap();
        network.isolate(&old, true);
        network.propose(&old, 1);
        network.run(4 * SECOND);
        let result = network.committed.get(&1);
        assert!(
            matches!(result, Some(ProposalResult::Unknown { .. })),
            "seed {seed}: {result:?}"
        );
        let next = network.leader().unwrap();
        network.propose(&next, 2);
        network.read(&old, 3);
        network.run(SECOND);
        assert_eq!(network.reads_done, 0, "seed {seed}");
        network.isolate(&old, false);
        network.run(2 * SECOND);
        assert!(is_committed(&network, 2), "seed {seed}");
        network.check_acknowledged();
    }
}

#[test]
fn without_a_quorum_changes_get_a_clear_answer_until_it_returns() {
    for seed in 0..SEEDS {
        let mut network = settled(seed, 3, 0);
        let leader = network.leader().unwrap();
        for id in network.ids() {
            network.isolate(&id, id != leader);
        }
        network.run(2 * SECOND);
        network.propose(&leader, 1);
        let result = network.committed.get(&1);
        assert!(
            matches!(result, Some(ProposalResult::Refused(_))),
            "seed {seed}: {result:?}"
        );
        for id in network.ids() {
            network.isolate(&id, false);
        }
        network.run(3 * SECOND);
        let leader = network.leader().unwrap();
        network.propose(&leader, 2);
        network.run(SECOND);
        assert!(is_committed(&network, 2), "seed {seed}");
        network.check_acknowledged();
    }
}

#[test]
fn a_voter_that_lost_its_disk_rejoins_as_another() {
    for seed in 0..SEEDS {
        let mut network = settled(seed, 3, 0);
        let leader = network.leader().unwrap();
        let lost = network.ids().into_iter().find(|id| *id != leader).unwrap();
        network.propose(&leader, 1);
        network.run(SECOND);
        network.compact(&leader);
        network.nodes.remove(&lost);
        let name: usize = lost.instance.as_str()[1..].parse().unwrap();
        let rejoined = voter(name, 2);
        network.add(rejoined.clone(), Configuration::default(), ReadMode::Index);
        network.run(5 * SECOND);
        assert!(
            network.machine(&rejoined).configuration().voters.is_empty(),
            "seed {seed}"
        );
        change(&mut network, VoterChange::Remove(lost.clone()));
        change(&mut network, VoterChange::AddLearner(rejoined.clone()));
        change(&mut network, VoterChange::Promote(rejoined.clone()));
        let configuration = network.machine(&rejoined).configuration().clone();
        assert!(configuration.is_voter(&rejoined), "seed {seed}");
        assert!(!configuration.is_voter(&lost), "seed {seed}");
        assert_eq!(network.nodes[&rejoined].commands, [1], "seed {seed}");
        network.crash(&leader);
        network.run(3 * SECOND);
        assert!(
            network.leader().is_some(),
            "seed {seed}: no leader with the rejoined voter"
        );
    }
}

#[test]
fn a_leader_gives_up_its_lead_at_once() {
    for seed in 0..SEEDS {
        let mut network = settled(seed, 3, 0);
        let old = network.leader().unwrap();
        network.handle(&old, Input::HandOver);
        network.run(Duration::from_millis(50));
        let next = network
            .leader()
            .unwrap_or_else(|| panic!("seed {seed}: no leader"));
        assert_ne!(next, old, "seed {seed}");
    }
}
