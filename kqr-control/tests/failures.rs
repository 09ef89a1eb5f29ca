//! Failures of the control instances and their effect on the settings: lost answers, concurrent changes, loss
//! of the quorum, partitions and restarts.

mod simulation;

use std::time::Duration;

use kqr_settings::{Answer, Refusal, Version};
use simulation::{Outcome, Simulation, control_id, id, set_command};

const STARTUP_TIME: Duration = Duration::from_secs(4);
const SECOND: Duration = Duration::from_secs(1);
/// Maximum time after the loss of a leader until changes are accepted again.
const LEADER_RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);

fn started_simulation(seed: u64, controls: usize) -> Simulation {
    let mut sim = Simulation::new(seed, controls);
    sim.run_for(STARTUP_TIME);
    assert!(sim.leader().is_some(), "seed {seed}: no leader");
    sim
}

fn accepted_version(answer: Option<Answer>) -> u64 {
    match answer {
        Some(Answer::Accepted { version, .. }) => version.0,
        other => panic!("{other:?}"),
    }
}

#[test]
fn resend_to_a_new_leader_after_a_lost_answer_is_applied_once() {
    for seed in 0..20 {
        let mut sim = started_simulation(seed, 3);
        let first = sim.leader().unwrap();
        let change = set_command("c1", 0, "limits/queued", "5");
        let call = sim.submit(&first, change.clone());
        let lost_after = Duration::from_millis(seed * 5);
        sim.run_for(lost_after);
        sim.crash(&first);
        let lost = sim.now;
        let answer = sim.submit_to_leader(&change, LEADER_RECOVERY_TIMEOUT);
        assert_eq!(accepted_version(answer.clone()), 1, "seed {seed}");
        assert!(sim.now.since(lost) <= LEADER_RECOVERY_TIMEOUT, "seed {seed}");
        if let Some((_, Outcome::Answered(early))) = sim.outcomes.get(&call) {
            assert_eq!(Some(early.clone()), answer, "seed {seed}");
        }
        sim.restart(&first);
        sim.run_for(2 * SECOND);
        for number in 0..3 {
            assert_eq!(
                sim.node(&control_id(number)).settings().version(),
                Version(1),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn of_two_changes_with_the_same_base_the_later_is_refused_with_the_conflicting_version() {
    let mut sim = started_simulation(1, 3);
    let leader = sim.leader().unwrap();
    let one = sim.submit(&leader, set_command("one", 0, "teams/a/quota", "5/s"));
    let two = sim.submit(&leader, set_command("two", 0, "teams/a/quota", "6/s"));
    sim.run_for(SECOND);
    assert!(matches!(
        &sim.outcomes[&one].1,
        Outcome::Answered(Answer::Accepted {
            version: Version(1),
            ..
        })
    ));
    let (_, Outcome::Answered(Answer::Refused(Refusal::Conflict { by, change, .. }))) = &sim.outcomes[&two]
    else {
        panic!("{:?}", sim.outcomes[&two]);
    };
    assert_eq!((*by, change.as_str()), (Version(1), "one"));
}

#[test]
fn without_a_quorum_settings_stay_in_force_and_changes_are_not_accepted() {
    let mut sim = started_simulation(2, 3);
    let controls: Vec<_> = (0..3).map(control_id).collect();
    sim.add_follower("entry-1", controls.clone());
    let change = set_command("c1", 0, "limits/queued", "5");
    accepted_version(sim.submit_to_leader(&change, 3 * SECOND));
    sim.run_for(2 * SECOND);
    assert_eq!(sim.applied(&id("entry-1")).last().unwrap().1, Version(1));
    let leader = sim.leader().unwrap();
    for control in &controls {
        if *control != leader {
            sim.crash(control);
        }
    }
    let call = sim.submit(&leader, set_command("c2", 1, "limits/queued", "6"));
    sim.run_for(6 * SECOND);
    assert_eq!(sim.outcomes[&call].1, Outcome::Unknown);
    let later = sim.submit(&leader, set_command("c3", 1, "limits/queued", "7"));
    sim.run_for(SECOND);
    assert_eq!(sim.outcomes[&later].1, Outcome::NotLeader(None));
    assert_eq!(sim.node(&leader).settings().version(), Version(1));
    assert!(!sim.node(&leader).has_recent_contact(sim.now));
    assert_eq!(sim.applied(&id("entry-1")).last().unwrap().1, Version(1));
}

#[test]
fn follower_that_missed_500_changes_catches_up_with_one_update_below_256_kib() {
    let mut sim = started_simulation(3, 3);
    let controls: Vec<_> = (0..3).map(control_id).collect();
    for team in 0..500 {
        let path = format!("teams/team-{team}/quota");
        let change = set_command(&format!("a{team}"), team, &path, "100/s");
        accepted_version(sim.submit_to_leader(&change, 3 * SECOND));
    }
    sim.add_follower("entry-1", controls.clone());
    sim.run_for(2 * SECOND);
    assert_eq!(sim.applied(&id("entry-1")).last().unwrap().1, Version(500));
    sim.set_partition(&[id("entry-1")], &controls, true);
    for team in 0..500 {
        let path = format!("teams/team-{team}/quota");
        let change = set_command(&format!("b{team}"), 500 + team, &path, "200/s");
        accepted_version(sim.submit_to_leader(&change, 3 * SECOND));
    }
    sim.run_for(10 * SECOND);
    sim.update_bytes.clear();
    let before = sim.applied(&id("entry-1")).len();
    sim.set_partition(&[id("entry-1")], &controls, false);
    sim.run_for(8 * SECOND);
    let applied = &sim.applied(&id("entry-1"))[before..];
    assert_eq!(applied.len(), 1, "{applied:?}");
    assert_eq!(applied[0].1, Version(1000));
    assert_eq!(sim.update_bytes.len(), 1);
    assert!(sim.update_bytes[0] < 256 * 1024, "{} bytes", sim.update_bytes[0]);
}

#[test]
fn isolated_control_instance_neither_disrupts_the_leader_nor_serves_stale_settings() {
    for seed in 0..10 {
        let mut sim = started_simulation(seed, 3);
        let controls: Vec<_> = (0..3).map(control_id).collect();
        sim.add_follower("entry-1", controls.clone());
        sim.run_for(2 * SECOND);
        let isolated = control_id(0);
        sim.set_partition(std::slice::from_ref(&isolated), &controls[1..], true);
        sim.run_for(4 * SECOND);
        let change = set_command("c1", 0, "limits/queued", "5");
        accepted_version(sim.submit_to_leader(&change, 3 * SECOND));
        sim.run_for(6 * SECOND);
        assert_eq!(
            sim.applied(&id("entry-1")).last().unwrap().1,
            Version(1),
            "seed {seed}"
        );
        let leader = sim.leader().unwrap();
        let term = sim.node(&leader).agreement().role().term;
        sim.run_for(60 * SECOND);
        sim.set_partition(std::slice::from_ref(&isolated), &controls[1..], false);
        sim.run_for(4 * SECOND);
        assert_eq!(sim.leader(), Some(leader.clone()), "seed {seed}");
        assert_eq!(sim.node(&leader).agreement().role().term, term, "seed {seed}");
        assert_eq!(
            sim.node(&isolated).settings().version(),
            Version(1),
            "seed {seed}"
        );
    }
}

#[test]
fn follower_without_a_persisted_version_applies_nothing_while_its_only_peer_lags() {
    let mut sim = started_simulation(4, 3);
    let controls: Vec<_> = (0..3).map(control_id).collect();
    let (lagging, entry) = (control_id(0), id("entry-1"));
    sim.add_follower("entry-1", vec![control_id(1), control_id(2)]);
    sim.set_partition(std::slice::from_ref(&lagging), &controls[1..], true);
    sim.run_for(4 * SECOND);
    for number in 0..3 {
        let change = set_command(
            &format!("c{number}"),
            number,
            "limits/queued",
            &number.to_string(),
        );
        accepted_version(sim.submit_to_leader(&change, 3 * SECOND));
    }
    sim.run_for(2 * SECOND);
    assert_eq!(sim.applied(&entry).last().unwrap().1, Version(3));
    let before = sim.applied(&entry).len();
    sim.restart_follower(&entry, vec![lagging.clone()]);
    sim.run_for(20 * SECOND);
    assert_eq!(sim.applied(&entry).len(), before);
    sim.set_partition(&[lagging], &controls[1..], false);
    sim.run_for(6 * SECOND);
    assert_eq!(sim.applied(&entry)[before].1, Version(3));
}

#[test]
fn applied_versions_never_decrease_across_repeated_partitions() {
    for seed in 0..10 {
        let mut sim = started_simulation(seed, 5);
        let controls: Vec<_> = (0..5).map(control_id).collect();
        for number in 0..6 {
            let mut peers = controls.clone();
            peers.rotate_left(number % 5);
            sim.add_follower(&format!("entry-{number}"), peers);
        }
        sim.run_for(2 * SECOND);
        let mut base = 0;
        for round in 0..4 {
            let (minority, majority) = controls.split_at(2);
            let entries = [id("entry-0"), id("entry-1")];
            let remote_entries: Vec<_> = (2..6).map(|number| id(&format!("entry-{number}"))).collect();
            for (left, right) in [
                (minority, majority),
                (&entries[..], majority),
                (minority, &remote_entries[..]),
            ] {
                sim.set_partition(left, right, round % 2 == 0);
            }
            for number in 0..5 {
                let change = set_command(
                    &format!("c{round}-{number}"),
                    base,
                    "limits/queued",
                    &base.to_string(),
                );
                base = accepted_version(sim.submit_to_leader(&change, 8 * SECOND));
            }
            sim.run_for(10 * SECOND);
        }
        for entry in sim.followers() {
            let applied = sim.applied(&entry);
            let is_increasing = applied.windows(2).all(|pair| pair[0].1 < pair[1].1);
            assert!(is_increasing, "seed {seed}: {entry}: {applied:?}");
            assert_eq!(applied.last().unwrap().1, Version(20), "seed {seed}: {entry}");
        }
    }
}

#[test]
fn changes_are_accepted_within_500_ms_after_a_stopping_leader_transfers_leadership() {
    let mut sim = started_simulation(5, 3);
    let leader = sim.leader().unwrap();
    sim.submit(&leader, set_command("c1", 0, "limits/queued", "5"));
    sim.run_for(SECOND);
    sim.transfer_leadership(&leader);
    sim.run_for(Duration::from_millis(300));
    sim.crash(&leader);
    let change = set_command("c2", 1, "limits/queued", "6");
    let answer = sim.submit_to_leader(&change, Duration::from_millis(500));
    assert_eq!(accepted_version(answer), 2);
}
