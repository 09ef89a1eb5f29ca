//! Builders of commands and edits for the tests.
#![allow(dead_code)]

use kqr_settings::{Action, Answer, Command, Edit, SettingPath, SettingsLog, Version};

pub fn path(text: &str) -> SettingPath {
    text.parse().unwrap()
}

pub fn set(at: &str, value: &str) -> Edit {
    Edit {
        path: path(at),
        value: Some(value.to_owned()),
    }
}

pub fn unset(at: &str) -> Edit {
    Edit {
        path: path(at),
        value: None,
    }
}

pub fn command(change: &str, base: u64, edits: Vec<Edit>) -> Command {
    Command {
        change: change.parse().unwrap(),
        base: Version(base),
        operator: "signe".parse().unwrap(),
        unix_ms: 1,
        is_exclusive: false,
        action: Action::Edit(edits),
    }
}

pub fn rollback(change: &str, base: u64, to: u64) -> Command {
    Command {
        action: Action::Rollback(Version(to)),
        ..command(change, base, Vec::new())
    }
}

/// Returns the version that an accepted change created.
///
/// # Panics
///
/// Panics if the change was refused.
pub fn accepted_version(answer: &Answer) -> u64 {
    match answer {
        Answer::Accepted { version, .. } => version.0,
        Answer::Refused(refusal) => panic!("refused: {refusal}"),
    }
}

/// Applies `count` changes to the quotas of up to 500 teams, each based on the preceding version.
pub fn apply_changes(log: &mut SettingsLog, count: u64) {
    for number in 0..count {
        let base = log.version().0;
        let at = format!("teams/team-{}/quota", number % 500);
        let edits = vec![set(&at, &format!("{}/s", 100 + base))];
        accepted_version(&log.apply(command(&format!("bulk-{base}"), base, edits)));
    }
}
