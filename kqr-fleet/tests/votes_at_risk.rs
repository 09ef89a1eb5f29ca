//! Orders of losses of control instances after which the log must still have a leader, in virtual time.

mod instances;

use std::time::Duration;

use instances::Instances;
use rand::RngExt;

const SEED_COUNT: u64 = 100;
/// Time after the start of a successor for which the one that it replaces still counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time within which changes have to be accepted again.
const CONTACT: Duration = Duration::from_secs(3);
/// As `CONTACT`, after more losses at once than are tolerated.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time from the announced end of a process to its end.
const HAND_OVER_TIME: Duration = Duration::from_millis(300);

/// Returns a voter that does not lead, other than `except`.
fn follower(instances: &Instances, except: &str) -> String {
    let leader = instances.leader().unwrap();
    let mut voters = instances.voters().into_iter();
    voters.find(|name| *name != leader && name != except).unwrap()
}

/// A voter that ends as planned, after its successor has caught up, kept its vote for the whole timeout.
#[test]
fn a_voter_that_ends_as_planned_after_its_successor_has_caught_up_leaves_no_vote_behind() {
    let mut failed = Vec::new();
    for seed in 0..SEED_COUNT {
        let mut instances = Instances::found(seed, 1, 0);
        let planned = follower(&instances, "");
        let other = follower(&instances, &planned);
        instances.add();
        instances.run(CATCH_UP);
        instances.announce_end(&planned);
        instances.run(HAND_OVER_TIME);
        instances.remove(&planned);
        let until_loss = instances.rng.random_range(200..1_000);
        instances.run(Duration::from_millis(until_loss));
        instances.remove(&other);
        instances.add();
        if !instances.run_until_changed(2 * CATCH_UP) {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "no change, seeds {failed:?}");
}

/// Each new leader waited for a full timeout, so that restarts of the leaders put off the replacement of a lost voter until
/// another one lost its disk.
#[test]
fn a_lost_voter_is_replaced_although_the_leaders_restart_again_and_again() {
    let mut failed = Vec::new();
    for seed in 0..SEED_COUNT {
        let mut instances = Instances::found(seed, 1, 0);
        let lost = follower(&instances, "");
        instances.remove(&lost);
        instances.add();
        for _ in 0..4 {
            instances.run(Duration::from_millis(1_300));
            if let Some(leader) = instances.leader() {
                instances.kill(&leader);
                instances.start(&leader);
            }
        }
        let other = instances.names().into_iter().next().unwrap();
        instances.wipe(&other);
        if !instances.run_until_changed(RECOVERY) {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "no change, seeds {failed:?}");
}

/// The request of an instance whose clock was set back before it lost its disk again looked outdated.
#[test]
fn an_instance_that_loses_its_disk_after_its_clock_was_set_back_votes_again() {
    let mut failed = Vec::new();
    for seed in 0..SEED_COUNT {
        let mut instances = Instances::found(seed, 1, 0);
        let wiped = follower(&instances, "");
        for storage in [1_000_000, 999_000] {
            instances.wipe_as(&wiped, storage);
            instances.run(CATCH_UP);
        }
        let other = follower(&instances, &wiped);
        instances.remove(&other);
        instances.add();
        if !instances.run_until_changed(2 * CATCH_UP) {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "no change, seeds {failed:?}");
}

/// A loss of power and of disks during a replacement, with no more disks lost than is tolerated.
#[test]
fn acknowledged_changes_survive_a_loss_of_power_and_disks_during_a_replacement() {
    let mut failed = Vec::new();
    for seed in 0..4 * SEED_COUNT {
        let lost_disks = 1 + (seed % 2) as usize;
        let mut instances = Instances::found(seed, lost_disks, 2);
        let away = follower(&instances, "");
        if instances.rng.random_bool(0.5) {
            instances.kill(&away);
        } else {
            instances.freeze(&away, true);
        }
        let until_loss = instances.rng.random_range(100..3_000);
        instances.run(Duration::from_millis(until_loss));
        instances.change();
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
        if instances.applied_version() < Some(acknowledged) || !instances.change() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "lost or no change, seeds {failed:?}");
}

/// Voters and others that fall silent by turns must not leave fewer voters, or lose what was accepted.
#[test]
fn instances_that_fall_silent_by_turns_leave_a_leader_and_all_votes() {
    let mut failed = Vec::new();
    for seed in 0..SEED_COUNT {
        let mut instances = Instances::found(seed, 1, (seed % 4) as usize);
        for _ in 0..8 {
            let names = instances.names();
            let slow = names[instances.rng.random_range(0..names.len())].clone();
            instances.freeze(&slow, true);
            instances.run(Duration::from_secs(2));
            instances.freeze(&slow, false);
            instances.run(CATCH_UP);
        }
        let has_votes = instances.voters().len() == 3;
        let lost = follower(&instances, "");
        instances.remove(&lost);
        if !has_votes || !instances.run_until_changed(CONTACT) {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "no change or too few voters, seeds {failed:?}");
}
