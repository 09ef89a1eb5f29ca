//! Control instances that are lost and replaced in series, in virtual time.

mod instances;

use std::time::Duration;

use instances::Instances;
use rand::RngExt;

const SEED_COUNT: u64 = 200;
/// Time after the start of a successor for which the one that it replaces still counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time between the loss of an instance and the start of its successor.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
/// Time after the last loss within which changes have to be accepted.
const CONTACT: Duration = Duration::from_secs(3);

/// Draws the next instance to lose: the leader every third time.
fn draw(instances: &mut Instances) -> String {
    if instances.rng.random_range(0..3) == 0
        && let Some(leader) = instances.leader()
    {
        return leader;
    }
    let names = instances.names();
    let position = instances.rng.random_range(0..names.len());
    names[position].clone()
}

/// Loses `count` instances for good and starts their successors, then waits for the catch-up time.
fn replace(instances: &mut Instances, count: usize) {
    for _ in 0..count {
        let lost = draw(instances);
        instances.remove(&lost);
        if instances.rng.random_bool(0.5) {
            instances.run(Duration::from_millis(300));
        }
    }
    instances.run(SUCCESSOR_DELAY);
    for _ in 0..count {
        instances.add();
    }
    instances.run(CATCH_UP);
}

/// A voter kept its vote for 9 s after its loss, counted anew by each leader.
#[test]
fn instances_that_are_replaced_one_after_the_other_leave_a_leader() {
    for seed in 0..SEED_COUNT {
        let mut instances = Instances::found(seed, 1, 0);
        for round in 0..12 {
            replace(&mut instances, 1);
            assert!(
                instances.change(),
                "seed {seed}: no change after replacement {round}"
            );
        }
        assert_eq!(
            instances.applied_version(),
            Some(instances.acknowledged),
            "seed {seed}"
        );
    }
}

/// As above, where two may be lost at once and some instances do not vote.
#[test]
fn pairs_of_instances_that_are_replaced_one_after_the_other_leave_a_leader() {
    for seed in 0..SEED_COUNT {
        let mut instances = Instances::found(seed, 2, (seed % 4) as usize);
        for round in 0..6 {
            replace(&mut instances, 2);
            assert!(
                instances.change(),
                "seed {seed}: no change after replacement {round}"
            );
        }
        assert_eq!(
            instances.applied_version(),
            Some(instances.acknowledged),
            "seed {seed}"
        );
    }
}

/// An instance whose vote was given to another while it was cut off gets one again when it asks to join.
#[test]
fn an_instance_that_lost_its_vote_while_it_was_away_becomes_a_member_again() {
    for seed in 0..SEED_COUNT {
        let mut instances = Instances::found(seed, 1, 1);
        let away = draw(&mut instances);
        instances.freeze(&away, true);
        instances.run(Duration::from_secs(12));
        assert!(!instances.voters().contains(&away), "seed {seed}");
        instances.freeze(&away, false);
        instances.run(CATCH_UP);
        let other = instances.voters().into_iter().next().unwrap();
        instances.remove(&other);
        assert!(
            instances.run_until_changed(CONTACT),
            "seed {seed}: no change after a loss"
        );
        instances.run(CATCH_UP);
        assert!(instances.voters().contains(&away), "seed {seed}");
    }
}

/// Between the steps of a replacement the log must depend on no more instances than before and after it.
#[test]
fn a_successor_or_another_voter_that_is_lost_during_a_replacement_costs_no_more_than_itself() {
    for seed in 0..SEED_COUNT {
        let mut instances = Instances::found(seed, 1, 0);
        let away = draw(&mut instances);
        instances.kill(&away);
        let mut successor = instances.add();
        let until_replacement = instances.rng.random_range(1_200..2_600);
        instances.run(Duration::from_millis(until_replacement));
        if seed % 2 == 0 {
            instances.remove(&successor);
            successor = instances.add();
        } else {
            let mut voters = instances.names().into_iter();
            let other = voters.find(|name| *name != away && *name != successor).unwrap();
            instances.wipe(&other);
            instances.start(&away);
        }
        assert!(
            instances.run_until_changed(2 * CATCH_UP),
            "seed {seed}: no change"
        );
        assert_eq!(
            instances.applied_version(),
            Some(instances.acknowledged),
            "seed {seed}"
        );
    }
}

/// After replacements all lose power, and the disks of as many are lost as the system tolerates.
#[test]
fn acknowledged_changes_survive_replacements_and_a_final_loss_of_disks_and_power() {
    for seed in 0..SEED_COUNT {
        let lost_disks = 1 + (seed % 2) as usize;
        let spares = (seed / 2 % 3) as usize;
        let mut instances = Instances::found(seed, lost_disks, spares);
        for _ in 0..instances.rng.random_range(1..4) {
            let count = instances.rng.random_range(1..=lost_disks);
            replace(&mut instances, count);
        }
        assert!(instances.change(), "seed {seed}");
        let names = instances.names();
        for name in &names {
            instances.kill(name);
        }
        let first = instances.rng.random_range(0..names.len());
        for (position, name) in names.iter().cycle().skip(first).take(names.len()).enumerate() {
            if position < lost_disks {
                instances.wipe(name);
            } else {
                instances.start(name);
            }
        }
        let acknowledged = instances.acknowledged;
        instances.run(Duration::from_secs(6));
        assert!(
            instances.applied_version() >= Some(acknowledged),
            "seed {seed}: lost"
        );
        assert!(instances.change(), "seed {seed}: no change");
    }
}
