//! Stores in folders of the file system: round trip, lock, owner, format versions and missing files.

mod memory;

use std::{fs, path::Path};

use kqr_store::{FORMAT_VERSION, FolderDisk, Founding, FoundingId, RecoveredState, Store, StoreError};
use kqr_types::Incarnation;
use memory::{owner, record_batches, states_after_batches};

fn open(
    path: &Path,
    instance: &str,
    storage: u64,
) -> Result<(Store<FolderDisk>, RecoveredState), StoreError> {
    Store::open(FolderDisk::open(path)?, &owner(instance), Incarnation(storage))
}

fn append_all_batches(path: &Path) {
    let (mut store, _) = open(path, "i0", 7).unwrap();
    for batch in record_batches() {
        store.append(batch).unwrap();
    }
    store.close().close().unwrap();
}

#[test]
fn a_reopened_folder_restores_its_state_and_incarnation() {
    let folder = tempfile::tempdir().unwrap();
    append_all_batches(folder.path());
    let (store, opened) = open(folder.path(), "i0", 8).unwrap();
    assert_eq!(opened.identity.storage, Incarnation(7));
    assert_eq!(
        opened.durable,
        *states_after_batches(&record_batches()).last().unwrap()
    );
    assert!(!opened.is_new);
    store.close().close().unwrap();
}

#[test]
fn a_recreated_folder_gets_another_incarnation() {
    let folder = tempfile::tempdir().unwrap();
    append_all_batches(&folder.path().join("data"));
    fs::remove_dir_all(folder.path().join("data")).unwrap();
    let (_, opened) = open(&folder.path().join("data"), "i0", 8).unwrap();
    assert!(opened.is_new && opened.durable.is_empty());
    assert_eq!(opened.identity.storage, Incarnation(8));
}

#[test]
fn a_locked_folder_and_another_owner_are_rejected() {
    let folder = tempfile::tempdir().unwrap();
    append_all_batches(folder.path());
    let (store, _) = open(folder.path(), "i0", 7).unwrap();
    assert!(matches!(
        open(folder.path(), "i0", 7),
        Err(StoreError::Locked { .. })
    ));
    store.close().close().unwrap();
    let error = open(folder.path(), "i1", 7).err().unwrap();
    assert_eq!(error.to_string(), "the folder belongs to settings of i0#7");
}

#[test]
fn older_and_newer_formats_are_rejected_with_both_versions() {
    for version in [FORMAT_VERSION - 1, FORMAT_VERSION + 1] {
        for name in ["identity", "snapshot-1", "log-1"] {
            let folder = tempfile::tempdir().unwrap();
            append_all_batches(folder.path());
            let path = folder.path().join(name);
            let mut content = fs::read(&path).unwrap();
            content[8..12].copy_from_slice(&version.to_le_bytes());
            let checksum = crc32fast::hash(&content[..12]);
            content[12..16].copy_from_slice(&checksum.to_le_bytes());
            fs::write(&path, content).unwrap();
            let error = open(folder.path(), "i0", 7).err().unwrap();
            let reports_versions = matches!(
                error,
                StoreError::UnsupportedFormat { found, supported: FORMAT_VERSION, .. } if found == version
            );
            assert!(reports_versions, "{name}: {error}");
        }
    }
}

#[test]
fn a_missing_file_is_rejected() {
    for name in ["identity", "snapshot-1", "log-1"] {
        let folder = tempfile::tempdir().unwrap();
        append_all_batches(folder.path());
        fs::remove_file(folder.path().join(name)).unwrap();
        let error = open(folder.path(), "i0", 7).err().unwrap();
        assert!(matches!(error, StoreError::Missing { .. }), "{name}: {error}");
    }
}

#[test]
fn a_founding_is_stored_beside_the_log_and_corruption_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    let disk = FolderDisk::open(folder.path()).unwrap();
    assert_eq!(Founding::read(&disk).unwrap(), None);
    let mut founding = Founding::begin(FoundingId(7));
    founding.write(&disk).unwrap();
    assert!(Store::is_unused(&disk).unwrap());
    founding.others.insert("i1".parse().unwrap(), FoundingId(8));
    founding.write(&disk).unwrap();
    let (store, opened) = Store::open(disk, &owner("i0"), Incarnation(1)).unwrap();
    assert!(opened.is_new);
    let disk = store.close();
    assert!(!Store::is_unused(&disk).unwrap());
    assert_eq!(Founding::read(&disk).unwrap(), Some(founding));

    let path = folder.path().join("founding");
    let mut content = fs::read(&path).unwrap();
    *content.last_mut().unwrap() ^= 1;
    fs::write(&path, content).unwrap();
    assert!(matches!(Founding::read(&disk), Err(StoreError::Corrupt { .. })));
}
