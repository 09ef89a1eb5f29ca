//! Named failures of the settings: lost answers, races, a lost quorum, partitions, restarts.

mod system;

use std::time::Duration;

use kqr_settings::{Answer, Refusal, Version};
use system::{Outcome, System, control_id, id, set};

const START: Duration = Duration::from_secs(4);
const SECOND: Duration = Duration::from_secs(1);
/// Longest time after the loss of a leader until changes are accepted again.
const LEADER_LOST: Duration = Duration::from_secs(3);

fn system(seed: u64, controls: usize) -> System {
    let mut system = System::new(seed, controls);
    system.run(START);
    assert!(system.leader().is_some(), "seed {seed}: no leader");
    system
}

fn version_of(answer: Option<Answer>) -> u64 {
    match answer {
        Some(Answer::Accepted { version, .. }) => version.0,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_lost_answer_and_a_resend_to_another_leader_change_once() {
    for seed in 0..20 {
        let mut system = system(seed, 3);
        let first = system.leader().unwrap();
        let change = set("c1", 0, "limits/queued", "5");
        let call = system.change(&first, change.clone());
        let lost_after = Duration::from_millis(seed * 5);
        system.run(lost_after);
        system.crash(&first);
        let lost = system.now;
        let answer = system.change_somewhere(&change, LEADER_LOST);
        assert_eq!(version_of(answer.clone()), 1, "seed {seed}");
        assert!(system.now.since(lost) <= LEADER_LOST, "seed {seed}");
        if let Some((_, Outcome::Answered(early))) = system.outcomes.get(&call) {
            assert_eq!(Some(early.clone()), answer, "seed {seed}");
        }
        system.restart(&first);
        system.run(2 * SECOND);
        for number in 0..3 {
            assert_eq!(
                system.node(&control_id(number)).settings().version(),
                Version(1),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn of_two_operators_with_equal_versions_one_wins_and_the_other_learns_the_version() {
    let mut system = system(1, 3);
    let leader = system.leader().unwrap();
    let one = system.change(&leader, set("one", 0, "teams/a/quota", "5/s"));
    let two = system.change(&leader, set("two", 0, "teams/a/quota", "6/s"));
    system.run(SECOND);
    assert!(matches!(
        &system.outcomes[&one].1,
        Outcome::Answered(Answer::Accepted {
            version: Version(1),
            ..
        })
    ));
    let (_, Outcome::Answered(Answer::Refused(Refusal::Conflict { by, change, .. }))) =
        &system.outcomes[&two]
    else {
        panic!("{:?}", system.outcomes[&two]);
    };
    assert_eq!((*by, change.as_str()), (Version(1), "one"));
}

#[test]
fn without_a_quorum_settings_stay_in_force_and_changes_are_not_accepted() {
    let mut system = system(2, 3);
    let controls: Vec<_> = (0..3).map(control_id).collect();
    system.add_follower("entry-1", controls.clone());
    let change = set("c1", 0, "limits/queued", "5");
    version_of(system.change_somewhere(&change, 3 * SECOND));
    system.run(2 * SECOND);
    assert_eq!(system.applied(&id("entry-1")).last().unwrap().1, Version(1));
    let leader = system.leader().unwrap();
    for control in &controls {
        if *control != leader {
            system.crash(control);
        }
    }
    let call = system.change(&leader, set("c2", 1, "limits/queued", "6"));
    system.run(6 * SECOND);
    assert_eq!(system.outcomes[&call].1, Outcome::Unknown);
    let later = system.change(&leader, set("c3", 1, "limits/queued", "7"));
    system.run(SECOND);
    assert_eq!(system.outcomes[&later].1, Outcome::NotLeader(None));
    assert_eq!(system.node(&leader).settings().version(), Version(1));
    assert!(!system.node(&leader).has_recent_contact(system.now));
    assert_eq!(system.applied(&id("entry-1")).last().unwrap().1, Version(1));
}

#[test]
fn an_instance_that_missed_500_changes_catches_up_with_one_message_of_less_than_256_kib() {
    let mut system = system(3, 3);
    let controls: Vec<_> = (0..3).map(control_id).collect();
    for team in 0..500 {
        let path = format!("teams/team-{team}/quota");
        let change = set(&format!("a{team}"), team, &path, "100/s");
        version_of(system.change_somewhere(&change, 3 * SECOND));
    }
    system.add_follower("entry-1", controls.clone());
    system.run(2 * SECOND);
    assert_eq!(system.applied(&id("entry-1")).last().unwrap().1, Version(500));
    system.cut(&[id("entry-1")], &controls, true);
    for team in 0..500 {
        let path = format!("teams/team-{team}/quota");
        let change = set(&format!("b{team}"), 500 + team, &path, "200/s");
        version_of(system.change_somewhere(&change, 3 * SECOND));
    }
    system.run(10 * SECOND);
    system.update_bytes.clear();
    let before = system.applied(&id("entry-1")).len();
    system.cut(&[id("entry-1")], &controls, false);
    system.run(8 * SECOND);
    let applied = &system.applied(&id("entry-1"))[before..];
    assert_eq!(applied.len(), 1, "{applied:?}");
    assert_eq!(applied[0].1, Version(1000));
    assert_eq!(system.update_bytes.len(), 1);
    assert!(
        system.update_bytes[0] < 256 * 1024,
        "{} bytes",
        system.update_bytes[0]
    );
}

#[test]
fn an_isolated_control_instance_neither_disturbs_nor_feeds_old_settings() {
    for seed in 0..10 {
        let mut system = system(seed, 3);
        let controls: Vec<_> = (0..3).map(control_id).collect();
        system.add_follower("entry-1", controls.clone());
        system.run(2 * SECOND);
        let isolated = control_id(0);
        system.cut(std::slice::from_ref(&isolated), &controls[1..], true);
        system.run(4 * SECOND);
        let change = set("c1", 0, "limits/queued", "5");
        version_of(system.change_somewhere(&change, 3 * SECOND));
        system.run(6 * SECOND);
        assert_eq!(
            system.applied(&id("entry-1")).last().unwrap().1,
            Version(1),
            "seed {seed}"
        );
        let leader = system.leader().unwrap();
        let term = system.node(&leader).agreement().role().term;
        system.run(60 * SECOND);
        system.cut(std::slice::from_ref(&isolated), &controls[1..], false);
        system.run(4 * SECOND);
        assert_eq!(system.leader(), Some(leader.clone()), "seed {seed}");
        assert_eq!(system.node(&leader).agreement().role().term, term, "seed {seed}");
        assert_eq!(
            system.node(&isolated).settings().version(),
            Version(1),
            "seed {seed}"
        );
    }
}

#[test]
fn an_instance_without_a_disk_applies_nothing_from_a_lagging_only_peer() {
    let mut system = system(4, 3);
    let controls: Vec<_> = (0..3).map(control_id).collect();
    let (lagging, entry) = (control_id(0), id("entry-1"));
    system.add_follower("entry-1", vec![control_id(1), control_id(2)]);
    system.cut(std::slice::from_ref(&lagging), &controls[1..], true);
    system.run(4 * SECOND);
    for number in 0..3 {
        let change = set(
            &format!("c{number}"),
            number,
            "limits/queued",
            &number.to_string(),
        );
        version_of(system.change_somewhere(&change, 3 * SECOND));
    }
    system.run(2 * SECOND);
    assert_eq!(system.applied(&entry).last().unwrap().1, Version(3));
    let before = system.applied(&entry).len();
    system.restart_follower(&entry, vec![lagging.clone()]);
    system.run(20 * SECOND);
    assert_eq!(system.applied(&entry).len(), before);
    system.cut(&[lagging], &controls[1..], false);
    system.run(6 * SECOND);
    assert_eq!(system.applied(&entry)[before].1, Version(3));
}

#[test]
fn data_centres_that_part_and_meet_again_never_go_back() {
    for seed in 0..10 {
        let mut system = system(seed, 5);
        let controls: Vec<_> = (0..5).map(control_id).collect();
        for number in 0..6 {
            let mut peers = controls.clone();
            peers.rotate_left(number % 5);
            system.add_follower(&format!("entry-{number}"), peers);
        }
        system.run(2 * SECOND);
        let mut base = 0;
        for round in 0..4 {
            let (minority, majority) = controls.split_at(2);
            let entries = [id("entry-0"), id("entry-1")];
            let far: Vec<_> = (2..6).map(|number| id(&format!("entry-{number}"))).collect();
            for (left, right) in [
                (minority, majority),
                (&entries[..], majority),
                (minority, &far[..]),
            ] {
                system.cut(left, right, round % 2 == 0);
            }
            for number in 0..5 {
                let change = set(
                    &format!("c{round}-{number}"),
                    base,
                    "limits/queued",
                    &base.to_string(),
                );
                base = version_of(system.change_somewhere(&change, 8 * SECOND));
            }
            system.run(10 * SECOND);
        }
        for entry in system.followers() {
            let applied = system.applied(&entry);
            let is_growing = applied.windows(2).all(|pair| pair[0].1 < pair[1].1);
            assert!(is_growing, "seed {seed}: {entry}: {applied:?}");
            assert_eq!(applied.last().unwrap().1, Version(20), "seed {seed}: {entry}");
        }
    }
}

#[test]
fn a_leader_that_stops_hands_over_at_once() {
    let mut system = system(5, 3);
    let leader = system.leader().unwrap();
    system.change(&leader, set("c1", 0, "limits/queued", "5"));
    system.run(SECOND);
    system.hand_over(&leader);
    system.run(Duration::from_millis(300));
    system.crash(&leader);
    let change = set("c2", 1, "limits/queued", "6");
    let answer = system.change_somewhere(&change, Duration::from_millis(500));
    assert_eq!(version_of(answer), 2);
}
