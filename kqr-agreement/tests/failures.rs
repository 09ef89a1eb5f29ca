//! Failure scenarios, each run with many seeds.

mod network;

use std::{collections::BTreeSet, time::Duration};

use kqr_agreement::{Configuration, Input, ProposalResult, ReadMode, RequestId, VoterChange, VoterId};
use network::{FIRST_CHANGE_REQUEST, Network, voter};
use rand::RngExt;

const SEED_COUNT: u64 = 200;
const SECOND: Duration = Duration::from_secs(1);

fn network_with_leader(seed: u64, voters: usize, non_members: usize) -> Network {
    let mut network = Network::new(seed, voters, non_members, ReadMode::Lease);
    network.run(3 * SECOND);
    network
}

fn is_committed(network: &Network, command: u64) -> bool {
    matches!(
        network.results.get(&command),
        Some(ProposalResult::Committed { .. })
    )
}

fn change_voters(network: &mut Network, change: VoterChange) {
    let leader = network.leader().unwrap();
    network.handle(
        &leader,
        Input::ChangeVoters {
            request: RequestId(FIRST_CHANGE_REQUEST),
            change,
        },
    );
    network.run(SECOND);
}

#[test]
fn proposals_commit_within_3_s_of_a_leader_crash() {
    for seed in 0..SEED_COUNT {
        let mut network = network_with_leader(seed, 3, 0);
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
fn a_member_that_returns_after_long_isolation_causes_no_election_and_catches_up() {
    for seed in 0..SEED_COUNT {
        let mut network = network_with_leader(seed, 3, 0);
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
fn an_isolated_leader_serves_no_reads_and_reports_proposals_as_unknown() {
    for seed in 0..SEED_COUNT {
        let mut network = network_with_leader(seed, 3, 0);
        let old = network.leader().unwrap();
        network.isolate(&old, true);
        network.propose(&old, 1);
        network.run(4 * SECOND);
        let result = network.results.get(&1);
        assert!(
            matches!(result, Some(ProposalResult::Unknown { .. })),
            "seed {seed}: {result:?}"
        );
        let next = network.leader().unwrap();
        network.propose(&next, 2);
        network.read(&old, 3);
        network.run(SECOND);
        assert_eq!(network.completed_reads, 0, "seed {seed}");
        network.isolate(&old, false);
        network.run(2 * SECOND);
        assert!(is_committed(&network, 2), "seed {seed}");
        network.check_acknowledged();
    }
}

#[test]
fn proposals_are_refused_without_a_quorum_and_commit_after_it_returns() {
    for seed in 0..SEED_COUNT {
        let mut network = network_with_leader(seed, 3, 0);
        let leader = network.leader().unwrap();
        for id in network.ids() {
            network.isolate(&id, id != leader);
        }
        network.run(2 * SECOND);
        network.propose(&leader, 1);
        let result = network.results.get(&1);
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
fn a_voter_that_lost_its_storage_rejoins_under_a_new_identity() {
    for seed in 0..SEED_COUNT {
        let mut network = network_with_leader(seed, 3, 0);
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
        change_voters(&mut network, VoterChange::Remove(lost.clone()));
        change_voters(&mut network, VoterChange::AddLearner(rejoined.clone()));
        change_voters(&mut network, VoterChange::Promote(rejoined.clone()));
        let configuration = network.machine(&rejoined).configuration().clone();
        assert!(configuration.is_voter(&rejoined), "seed {seed}");
        assert!(!configuration.is_voter(&lost), "seed {seed}");
        assert_eq!(network.nodes[&rejoined].commands, [1], "seed {seed}");
        network.crash(&leader);
        network.run(3 * SECOND);
        assert!(
            network.leader().is_some(),
            "seed {seed}: no leader after the rejoined voter was promoted"
        );
    }
}

#[test]
fn leadership_transfer_elects_another_leader_within_50_ms() {
    for seed in 0..SEED_COUNT {
        let mut network = network_with_leader(seed, 3, 0);
        let old = network.leader().unwrap();
        network.handle(&old, Input::HandOver);
        network.run(Duration::from_millis(50));
        let next = network
            .leader()
            .unwrap_or_else(|| panic!("seed {seed}: no leader"));
        assert_ne!(next, old, "seed {seed}");
    }
}

/// With two separate changes, one step depended on a member more, or the other on one of the remaining voters.
#[test]
fn the_loss_of_any_member_during_a_replacement_leaves_a_leader() {
    for seed in 0..SEED_COUNT {
        let mut network = network_with_leader(seed, 3, 1);
        let leader = network.leader().unwrap();
        let learner = voter(3, 1);
        change_voters(&mut network, VoterChange::AddLearner(learner.clone()));
        let mut followers = network.ids().into_iter();
        let is_follower = |id: &VoterId| *id != leader && *id != learner;
        let away = followers.find(is_follower).unwrap();
        let other = followers.find(is_follower).unwrap();
        network.crash(&away);
        network.propose(&leader, 1);
        network.run(Duration::from_millis(50));
        network.handle(
            &leader,
            Input::ChangeVoters {
                request: RequestId(FIRST_CHANGE_REQUEST),
                change: VoterChange::Replace {
                    voters: BTreeSet::from([away.clone()]),
                    learners: BTreeSet::from([learner.clone()]),
                },
            },
        );
        let until_loss = Duration::from_micros(network.rng.random_range(0..8_000));
        network.run(until_loss);
        match seed % 3 {
            0 => network.crash(&learner),
            1 => {
                network.crash(&other);
                network.restart(&away);
            }
            _ => {
                network.crash(&leader);
                network.restart(&away);
            }
        }
        network.run(3 * SECOND);
        let next = network.leader();
        let next = next.unwrap_or_else(|| panic!("seed {seed}: no leader"));
        network.propose(&next, 2);
        network.run(SECOND);
        assert!(
            is_committed(&network, 1) && is_committed(&network, 2),
            "seed {seed}"
        );
    }
}
