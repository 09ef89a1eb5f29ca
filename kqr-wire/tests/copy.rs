//! The durable copy of the settings.

use std::fs;

use kqr_settings::{Tree, Version};
use kqr_wire::control::SettingsCopy;

fn tree(count: usize) -> Tree {
    (0..count)
        .map(|team| (format!("teams/t{team}/burst").parse().unwrap(), team.to_string()))
        .collect()
}

#[test]
fn a_copy_is_loaded_as_it_was_stored() {
    let folder = tempfile::tempdir().unwrap();
    let copy = SettingsCopy::new(folder.path().join("settings"));
    assert!(copy.load().unwrap().is_none());
    for version in 1..4 {
        let kept = (Version(version), tree(version as usize));
        copy.store(kept.0, &kept.1).unwrap();
        assert_eq!(copy.load().unwrap(), Some(kept));
    }
}

#[test]
fn a_cut_or_changed_copy_is_never_taken_for_a_version() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings");
    let copy = SettingsCopy::new(path.clone());
    copy.store(Version(300), &tree(3)).unwrap();
    let bytes = fs::read(&path).unwrap();
    for cut in 0..bytes.len() {
        fs::write(&path, &bytes[..cut]).unwrap();
        assert!(copy.load().is_err(), "cut at {cut}");
    }
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        fs::write(&path, &changed).unwrap();
        assert!(copy.load().is_err(), "changed at {at}");
    }
}
