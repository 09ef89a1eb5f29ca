//! Storing, loading and damage detection of the durable settings copy.

use std::fs;

use kqr_settings::{Tree, Version};
use kqr_wire::control::SettingsCopy;

fn tree(count: usize) -> Tree {
    (0..count)
        .map(|team| (format!("teams/t{team}/burst").parse().unwrap(), team.to_string()))
        .collect()
}

#[test]
fn copy_is_loaded_as_it_was_stored() {
    let folder = tempfile::tempdir().unwrap();
    let copy = SettingsCopy::new(folder.path().join("settings"));
    assert!(copy.load().unwrap().is_none());
    for version in 1..4 {
        let stored = (Version(version), tree(version as usize));
        copy.store(stored.0, &stored.1).unwrap();
        assert_eq!(copy.load().unwrap(), Some(stored));
    }
}

#[test]
fn truncated_or_modified_copy_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings");
    let copy = SettingsCopy::new(path.clone());
    copy.store(Version(300), &tree(3)).unwrap();
    let bytes = fs::read(&path).unwrap();
    for length in 0..bytes.len() {
        fs::write(&path, &bytes[..length]).unwrap();
        assert!(copy.load().is_err(), "truncated at {length}");
    }
    for at in 0..bytes.len() {
        let mut modified = bytes.clone();
        modified[at] ^= 1;
        fs::write(&path, &modified).unwrap();
        assert!(copy.load().is_err(), "modified at {at}");
    }
}
