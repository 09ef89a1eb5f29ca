//! Members whose log ends with their own removal, which no other member has.

mod network;

use std::{collections::BTreeSet, time::Duration};

use kqr_agreement::{Input, ReadMode, RequestId, VoterChange, VoterId};
use network::{FIRST_CHANGE_REQUEST, Network, voter};

const SEED_COUNT: u64 = 100;
const SECOND: Duration = Duration::from_secs(1);

fn change(network: &mut Network, change: VoterChange) {
    let leader = network.leader().unwrap();
    let request = RequestId(FIRST_CHANGE_REQUEST);
    network.handle(&leader, Input::ChangeVoters { request, change });
}

/// Moves the lead to `member`.
fn lead_by(network: &mut Network, member: &VoterId) {
    for _ in 0..50 {
        match network.leader() {
            Some(leader) if leader == *member => return,
            Some(leader) => network.handle(&leader, Input::HandOver),
            None => {}
        }
        network.run(SECOND);
    }
    panic!("{member} does not lead");
}

fn is_joint(network: &Network, member: &VoterId) -> bool {
    network.machine(member).configuration().is_joint()
}

fn restart_all(network: &mut Network, members: &[&VoterId]) {
    for member in members {
        network.crash(member);
    }
    network.blocked_links.clear();
    for member in members {
        network.restart(member);
        network.isolate(member, false);
    }
    network.run(5 * SECOND);
}

/// A replaced voter that alone has the final configuration granted no vote and did not campaign either, as it had been no
/// voter yet in its latest snapshot.
#[test]
fn the_loss_of_a_disk_and_of_power_while_a_replacement_ends_leaves_a_leader() {
    let mut failed = Vec::new();
    let mut tried = 0;
    for seed in 0..SEED_COUNT {
        let mut network = Network::new(seed, 3, 2, ReadMode::Index);
        network.run(3 * SECOND);
        let first = network.leader().unwrap();
        let mut others = (0..3).map(|name| voter(name, 1)).filter(|id| *id != first);
        let [second, former] = [(); 2].map(|()| others.next().unwrap());
        let [replaced, learner] = [3, 4].map(|name| voter(name, 1));
        for step in [
            VoterChange::AddLearner(replaced.clone()),
            VoterChange::Promote(replaced.clone()),
            VoterChange::Remove(former.clone()),
            VoterChange::AddLearner(learner.clone()),
        ] {
            change(&mut network, step);
            network.run(SECOND);
        }
        network.crash(&former);
        network.propose(&first, 1);
        network.run(SECOND);
        let replacement = VoterChange::Replace {
            voters: BTreeSet::from([replaced.clone()]),
            learners: BTreeSet::from([learner.clone()]),
        };
        change(&mut network, replacement);
        // The joint configuration is on its way.
        for member in [&second, &learner] {
            network.blocked_links.insert((first.clone(), member.clone()));
        }
        network.run(Duration::from_millis(300));
        if !is_joint(&network, &second) || !is_joint(&network, &learner) || is_joint(&network, &replaced) {
            continue;
        }
        tried += 1;
        network.crash(&first);
        restart_all(&mut network, &[&second, &learner, &replaced]);
        if network.leader().is_none() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "no leader, seeds {failed:?} of {tried}");
    assert!(tried > 0, "no seed reaches the case");
}

/// A leader that alone has its own removal restarts.
#[test]
fn a_leader_that_restarts_while_it_is_being_removed_leaves_a_leader() {
    let mut failed = Vec::new();
    for seed in 0..SEED_COUNT {
        let mut network = Network::new(seed, 1, 1, ReadMode::Index);
        network.run(3 * SECOND);
        let [founder, leader] = [0, 1].map(|name| voter(name, 1));
        change(&mut network, VoterChange::AddLearner(leader.clone()));
        network.run(SECOND);
        change(&mut network, VoterChange::Promote(leader.clone()));
        network.run(SECOND);
        lead_by(&mut network, &leader);
        network.run(SECOND);
        network.isolate(&founder, true);
        change(&mut network, VoterChange::Remove(leader.clone()));
        network.run(Duration::from_millis(50));
        restart_all(&mut network, &[&leader, &founder]);
        if network.leader().is_none() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "no leader, seeds {failed:?}");
}
