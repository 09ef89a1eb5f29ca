//! Builders that the tests share.
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

pub fn accepted(answer: &Answer) -> u64 {
    match answer {
        Answer::Accepted { version, .. } => version.0,
        Answer::Refused(refusal) => panic!("refused: {refusal}"),
    }
}

/// Applies `count` changes of different teams, each against the version before it.
pub fn apply_changes(log: &mut SettingsLog, count: u64) {
    for number in 0..count {
        let base = log.version().0;
        let at = format!("teams/team-{}/quota", number % 500);
        let edits = vec![set(&at, &format!("{}/s", 100 + base))];
        accepted(&log.apply(command(&format!("bulk-{base}"), base, edits)));
    }
}
