//! Tests of the follower: stream selection, confirmation by a quorum, and versions that never decrease.

mod common;

use common::apply_changes;
use kqr_settings::{
    Follower, FollowerInput, FollowerOptions, FollowerOutput, LogOptions, SettingsLog, Version,
};
use kqr_types::{InstanceId, Instant};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn peer(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn log_at(version: u64) -> SettingsLog {
    let mut log = SettingsLog::new(LogOptions::default());
    apply_changes(&mut log, version);
    log
}

fn follower(persisted: Option<&SettingsLog>) -> Follower {
    let persisted = persisted.map(|log| (log.version(), log.tree().clone()));
    Follower::new(FollowerOptions::default(), vec![peer("a"), peer("b")], persisted)
}

fn tick(follower: &mut Follower, at_ms: u64) -> Vec<FollowerOutput> {
    let mut outputs = Vec::new();
    follower.handle(Instant(at_ms * 1000), FollowerInput::Tick, &mut outputs);
    outputs
}

fn update(follower: &mut Follower, from: &str, log: &SettingsLog, is_confirmed: bool) -> Vec<FollowerOutput> {
    let mut outputs = Vec::new();
    let update = log.update_since(follower.applied());
    let input = FollowerInput::Updated {
        peer: peer(from),
        update,
        is_confirmed,
    };
    follower.handle(Instant(1000), input, &mut outputs);
    outputs
}

fn heartbeat(from: &str, log: &SettingsLog, is_in_touch: bool) -> FollowerInput {
    let (version, digest) = (log.version(), log.tree().digest());
    FollowerInput::Heartbeat {
        peer: peer(from),
        version,
        digest,
        is_in_touch,
    }
}

#[test]
fn without_persisted_version_only_a_confirmed_update_is_applied() {
    let mut follower = follower(None);
    let opened = tick(&mut follower, 0);
    assert_eq!(
        opened,
        [FollowerOutput::Open {
            peer: peer("a"),
            since: None,
            needs_confirmation: true,
            is_last_resort: false
        }]
    );
    assert_eq!(update(&mut follower, "a", &log_at(7), false), []);
    assert_eq!(follower.applied(), None);
    let applied = update(&mut follower, "a", &log_at(9), true);
    assert_eq!(applied, [FollowerOutput::Apply { version: Version(9) }]);
}

#[test]
fn update_from_a_lagging_peer_does_not_decrease_the_version() {
    let newest = log_at(9);
    let mut follower = follower(Some(&newest));
    tick(&mut follower, 0);
    assert_eq!(update(&mut follower, "a", &log_at(7), true), []);
    assert_eq!(follower.tree(), newest.tree());
}

#[test]
fn silent_stream_is_replaced_by_one_from_the_next_peer() {
    let mut follower = follower(None);
    tick(&mut follower, 0);
    assert_eq!(tick(&mut follower, 4999), []);
    assert_eq!(
        tick(&mut follower, 5000),
        [FollowerOutput::Close { peer: peer("a") }]
    );
    let opened = tick(&mut follower, 5250);
    assert!(matches!(&opened[..], [FollowerOutput::Open { peer: next, .. }] if *next == peer("b")));
}

#[test]
fn stream_from_a_peer_without_quorum_contact_is_closed() {
    let log = log_at(3);
    let mut follower = follower(Some(&log));
    tick(&mut follower, 0);
    for second in 1..5 {
        let mut outputs = Vec::new();
        follower.handle(
            Instant(second * 1_000_000),
            heartbeat("a", &log, false),
            &mut outputs,
        );
        assert_eq!(outputs, []);
        assert_eq!(tick(&mut follower, second * 1000), []);
    }
    assert_eq!(
        tick(&mut follower, 5000),
        [FollowerOutput::Close { peer: peer("a") }]
    );
}

#[test]
fn diverged_copy_is_replaced_by_a_confirmed_snapshot() {
    let log = log_at(3);
    let mut diverged = SettingsLog::new(LogOptions::default());
    for number in 0..3 {
        let edits = vec![common::set("limits/queued", &number.to_string())];
        diverged.apply(common::command(&format!("x{number}"), number, edits));
    }
    let mut follower = follower(Some(&diverged));
    tick(&mut follower, 0);
    let mut outputs = Vec::new();
    follower.handle(Instant(1), heartbeat("a", &log, true), &mut outputs);
    assert_eq!(
        outputs,
        [FollowerOutput::Open {
            peer: peer("a"),
            since: None,
            needs_confirmation: true,
            is_last_resort: true
        }]
    );
    let snapshot = log.update_since(None);
    let input = FollowerInput::Updated {
        peer: peer("a"),
        update: snapshot,
        is_confirmed: true,
    };
    follower.handle(Instant(2), input, &mut outputs);
    assert_eq!(follower.tree(), log.tree());
}

#[test]
fn lost_update_is_requested_again() {
    let mut follower = follower(Some(&log_at(2)));
    tick(&mut follower, 0);
    let mut outputs = Vec::new();
    follower.handle(Instant(1), heartbeat("a", &log_at(2), true), &mut outputs);
    assert_eq!(outputs, []);
    follower.handle(Instant(2), heartbeat("a", &log_at(3), true), &mut outputs);
    let [
        FollowerOutput::Open {
            since,
            needs_confirmation,
            ..
        },
    ] = &outputs[..]
    else {
        panic!("{outputs:?}");
    };
    assert_eq!((*since, *needs_confirmation), (Some(Version(2)), false));
}

/// Applies updates from peers at random versions, with random restarts, with and without a persisted version,
/// and messages from streams that are not open.
#[test]
fn applied_version_never_decreases_across_restarts_and_lagging_peers() {
    let versions: Vec<SettingsLog> = (0..30).map(log_at).collect();
    let mut applied_count = 0;
    for seed in 0..300 {
        let rng = &mut ChaCha8Rng::seed_from_u64(seed);
        let (mut accepted, mut highest) = (0, 0);
        let mut follower = follower(None);
        let mut now = 0;
        for _ in 0..200 {
            accepted = (accepted + usize::from(rng.random_range(0..8) == 0)).min(29);
            now += rng.random_range(1..2000);
            match rng.random_range(0..10) {
                0 => {
                    let persisted = &versions[highest];
                    let has_disk = rng.random_range(0..2) == 0 && highest > 0;
                    follower = self::follower(has_disk.then_some(persisted));
                }
                1..4 => drop(tick(&mut follower, now)),
                _ => {
                    let is_confirmed = rng.random_range(0..3) == 0;
                    let lag = if is_confirmed {
                        0
                    } else {
                        rng.random_range(0..=accepted)
                    };
                    let from = if rng.random_range(0..2) == 0 { "a" } else { "b" };
                    let log = &versions[accepted - lag];
                    for output in update(&mut follower, from, log, is_confirmed) {
                        let FollowerOutput::Apply { version } = output else {
                            continue;
                        };
                        assert!(
                            version.0 as usize >= highest,
                            "seed {seed}: {version} after {highest}"
                        );
                        highest = version.0 as usize;
                        applied_count += 1;
                        assert_eq!(follower.tree(), versions[highest].tree(), "seed {seed}");
                    }
                }
            }
        }
    }
    assert!(applied_count > 300, "{applied_count}");
}
