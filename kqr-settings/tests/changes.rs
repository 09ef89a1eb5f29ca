//! Tests of the settings log: retried, conflicting and rolled-back changes, history, updates and snapshots.

mod common;

use common::{accepted_version, apply_changes, command, path, rollback, set, unset};
use kqr_settings::{Answer, LogOptions, Refusal, SettingsLog, Tree, UpdateBody, Version};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn empty_log() -> SettingsLog {
    SettingsLog::new(LogOptions::default())
}

#[test]
fn retried_change_gets_its_first_answer() {
    let mut log = empty_log();
    let first = log.apply(command("c1", 0, vec![set("limits/queued", "5")]));
    accepted_version(&log.apply(command("c2", 1, vec![set("limits/queued", "6")])));
    let retried = log.apply(command("c1", 0, vec![set("limits/queued", "5")]));
    assert_eq!(first, retried);
    assert_eq!(log.version(), Version(2));
    let refused = log.apply(command("c3", 1, vec![set("limits/queued", "7")]));
    accepted_version(&log.apply(command("c4", 2, vec![unset("limits")])));
    assert_eq!(
        log.apply(command("c3", 3, vec![set("limits/queued", "7")])),
        refused
    );
}

#[test]
fn second_change_to_a_node_on_the_same_base_is_refused_with_the_first_one() {
    let mut log = empty_log();
    accepted_version(&log.apply(command("first", 0, vec![set("teams/a/quota", "5/s")])));
    let answer = log.apply(command("second", 0, vec![set("teams/a/burst", "7")]));
    let Answer::Refused(Refusal::Conflict {
        by, change, path: at, ..
    }) = answer
    else {
        panic!("{answer:?}");
    };
    assert_eq!(
        (by, change.as_str(), at),
        (Version(1), "first", path("teams/a/quota"))
    );
    assert_eq!(log.version(), Version(1));
}

#[test]
fn changes_to_unrelated_nodes_conflict_only_if_exclusive_or_removed() {
    let mut log = empty_log();
    accepted_version(&log.apply(command("a", 0, vec![set("teams/a/quota", "5/s")])));
    accepted_version(&log.apply(command("b", 0, vec![set("teams/b/quota", "5/s")])));
    let mut exclusive = command("c", 0, vec![set("teams/c/quota", "5/s")]);
    exclusive.is_exclusive = true;
    assert!(matches!(
        log.apply(exclusive),
        Answer::Refused(Refusal::Conflict { .. })
    ));
    let removal = log.apply(command("d", 1, vec![unset("teams")]));
    assert!(matches!(
        removal,
        Answer::Refused(Refusal::Conflict { by: Version(2), .. })
    ));
}

#[test]
fn change_without_conflict_is_refused_if_the_combined_tree_is_invalid() {
    let mut log = empty_log();
    accepted_version(&log.apply(command("a", 0, vec![set("deadlines/max", "1m")])));
    let answer = log.apply(command("b", 0, vec![set("services/s/deadlines/default", "2m")]));
    assert!(
        matches!(answer, Answer::Refused(Refusal::Invalid(_))),
        "{answer:?}"
    );
}

#[test]
fn rollback_creates_a_new_version() {
    let mut log = empty_log();
    accepted_version(&log.apply(command(
        "a",
        0,
        vec![set("limits/queued", "5"), set("drain", "true")],
    )));
    let old = log.tree().clone();
    accepted_version(&log.apply(command("b", 1, vec![unset("drain"), set("limits/queued", "6")])));
    accepted_version(&log.apply(command("c", 2, vec![set("teams/a/burst", "3")])));
    assert_eq!(accepted_version(&log.apply(rollback("d", 3, 1))), 4);
    assert_eq!(log.tree(), &old);
    assert_eq!(
        log.tree_at(Version(3)).unwrap().get(&path("teams/a/burst")),
        Some("3")
    );
}

#[test]
fn bases_outside_the_retained_history_are_refused() {
    let options = LogOptions {
        max_changes: 10,
        ..LogOptions::default()
    };
    let mut log = SettingsLog::new(options);
    apply_changes(&mut log, 30);
    let too_old = log.apply(command("old", 19, vec![set("drain", "true")]));
    assert_eq!(too_old, Answer::Refused(Refusal::TooOld { oldest: Version(20) }));
    let not_yet = log.apply(command("early", 31, vec![set("drain", "true")]));
    assert_eq!(not_yet, Answer::Refused(Refusal::NotYet { highest: Version(30) }));
    assert!(matches!(
        log.update_since(Some(Version(5))).body,
        UpdateBody::Snapshot(_)
    ));
}

#[test]
fn copy_500_changes_behind_is_updated_by_one_delta() {
    let mut log = empty_log();
    for team in 0..500 {
        let base = log.version().0;
        accepted_version(&log.apply(command(
            &format!("t{team}"),
            base,
            vec![set(&format!("teams/t{team}/burst"), "9")],
        )));
    }
    let (version, copy) = (log.version(), log.tree().clone());
    apply_changes(&mut log, 500);
    let update = log.update_since(Some(version));
    assert!(matches!(update.body, UpdateBody::Delta { .. }));
    assert_eq!(&update.apply(version, &copy).unwrap(), log.tree());
    let wrong_base = update.apply(Version(version.0 - 1), &copy);
    assert!(wrong_base.is_err());
}

#[test]
fn corrupted_update_is_detected_by_the_digest() {
    let mut log = empty_log();
    apply_changes(&mut log, 3);
    let mut update = log.update_since(None);
    let UpdateBody::Snapshot(edits) = &mut update.body else {
        panic!()
    };
    edits[1].value = Some("1/s".to_owned());
    assert!(update.apply(Version(0), &Tree::default()).is_err());
}

/// Returns a command with a random base and one random edit, which may be invalid. Some commands reuse a
/// change id or roll back.
fn random_command<Random: Rng>(rng: &mut Random, number: u64, highest: u64) -> kqr_settings::Command {
    let base = highest.saturating_sub(rng.random_range(0..4));
    let team = rng.random_range(0..6);
    let edit = match rng.random_range(0..6) {
        0 => unset(&format!("teams/t{team}")),
        1 => set(&format!("teams/t{team}/quota"), "-3/s"),
        2 => set("deadlines/default", &format!("{}m", rng.random_range(1..15))),
        _ => set(
            &format!("teams/t{team}/burst"),
            &rng.random_range(1..9).to_string(),
        ),
    };
    match rng.random_range(0..10) {
        0 => rollback(&format!("r{number}"), base, base.saturating_sub(2)),
        1 => command(&format!("r{}", number / 2), base, vec![edit]),
        _ => command(&format!("r{number}"), base, vec![edit]),
    }
}

#[test]
fn replicas_stay_identical_and_valid_across_snapshots() {
    for seed in 0..40 {
        let rng = &mut ChaCha8Rng::seed_from_u64(seed);
        let options = LogOptions {
            max_changes: 50,
            max_answers: 50,
            ..LogOptions::default()
        };
        let (mut left, mut right) = (SettingsLog::new(options), SettingsLog::new(options));
        for number in 0..200 {
            let command = random_command(rng, number, left.version().0);
            let before = left.version();
            let copy = left.tree().clone();
            let answer = left.apply(command.clone());
            assert_eq!(answer, right.apply(command), "seed {seed}");
            kqr_settings::validate(left.tree()).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
            let updated = left.update_since(Some(before)).apply(before, &copy);
            assert_eq!(updated.as_ref(), Ok(left.tree()), "seed {seed}");
            if rng.random_range(0..20) == 0 {
                right = SettingsLog::restore(options, &right.snapshot().unwrap()).unwrap();
            }
            assert_eq!(left, right, "seed {seed}");
        }
        assert!(left.version().0 > 50, "seed {seed}: {}", left.version());
    }
}

#[test]
fn corrupted_snapshots_and_unsupported_formats_are_refused() {
    let mut log = empty_log();
    apply_changes(&mut log, 3);
    let bytes = log.snapshot().unwrap();
    let text = String::from_utf8(bytes).unwrap();
    for invalid in [
        text.replace("\"format\":1", "\"format\":2"),
        text.replace("100/s", "900/s"),
        text[..text.len() / 2].to_owned(),
    ] {
        assert!(SettingsLog::restore(LogOptions::default(), invalid.as_bytes()).is_err());
    }
}
