//! Settings files: what is read, what is refused, and when a change is noticed.

use kqr_runtime::{SettingsFile, control::ControlSettings, entry::EntrySettings};

const ENTRY: &str = "name: entry-1\ndata_centre: uppsala\naddress: 127.0.0.1\ncallers: \"127.0.0.1:8000\"\n\
    readiness: \"127.0.0.1:8001\"\nfirst_port: 7320\nseeds: [\"127.0.0.2:8002\"]\nmax_lease_ms: 1000\ngrace_s: 6\ncpu_share: 0.25\n";

const CONTROL: &str = "name: control-1\naddress: 127.0.0.1\nfirst_port: 7320\noperators: \"127.0.0.1:8002\"\n\
    data_folder: /data\nseeds: [\"127.0.0.1:8002\", \"127.0.0.2:8002\"]\nis_founding: true\nlost_disks: 1\n";

#[test]
fn an_entry_is_read_and_checked() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.yaml");
    std::fs::write(&path, ENTRY).unwrap();
    let (mut file, settings) = SettingsFile::open::<EntrySettings>(&path).unwrap();
    settings.check().unwrap();
    assert_eq!(settings.weight(), 250);
    assert_eq!(settings.seed_ids().unwrap()[0].as_str(), "127.0.0.2:7320");
    assert!(
        file.reload::<EntrySettings>().unwrap().is_none(),
        "nothing has changed"
    );
    std::fs::write(&path, ENTRY.replace("127.0.0.2", "127.0.0.3")).unwrap();
    let changed = file.reload::<EntrySettings>().unwrap().unwrap();
    assert_eq!(changed.seeds[0].to_string(), "127.0.0.3:8002");
}

#[test]
fn contradictions_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.yaml");
    let refused = |from: &str, to: &str| {
        std::fs::write(&path, ENTRY.replace(from, to)).unwrap();
        let opened = SettingsFile::open::<EntrySettings>(&path);
        opened.and_then(|(_, settings)| settings.check()).is_err()
    };
    assert!(refused("seeds: [\"127.0.0.2:8002\"]", "seeds: []"));
    assert!(refused("max_lease_ms: 1000", "max_lease_ms: 10"));
    assert!(refused("grace_s: 6", "grace_s: 0"));
    assert!(refused("cpu_share: 0.25", "cpu_share: 0"));
    assert!(refused("first_port: 7320", "first_port: 65535"));
    assert!(refused("address: 127.0.0.1", "address: nowhere"));
    assert!(refused("name: entry-1\n", ""));
}

#[test]
fn a_control_instance_is_named_by_its_listener() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("control.yaml");
    std::fs::write(&path, CONTROL).unwrap();
    let (_, settings) = SettingsFile::open::<ControlSettings>(&path).unwrap();
    settings.check().unwrap();
    assert_eq!(settings.instance_id().unwrap().as_str(), "127.0.0.1:7320");
    assert!(
        settings
            .seed_ids()
            .unwrap()
            .contains(&settings.instance_id().unwrap())
    );
    assert_eq!(settings.voter_count(), 3);
}

#[test]
fn an_instance_may_listen_at_another_address_than_others_use() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    let bound = |text: &str| {
        text.replace(
            "address: 127.0.0.1\n",
            "address: 127.0.0.1\nbind_address: 127.0.0.9\n",
        )
    };
    std::fs::write(&path, bound(ENTRY)).unwrap();
    let (_, entry) = SettingsFile::open::<EntrySettings>(&path).unwrap();
    assert_eq!(entry.sibling_address().to_string(), "127.0.0.1:7320");
    assert_eq!(
        entry.listen_address(entry.sibling_address()).to_string(),
        "127.0.0.9:7320"
    );
    std::fs::write(&path, bound(CONTROL)).unwrap();
    let (_, control) = SettingsFile::open::<ControlSettings>(&path).unwrap();
    assert_eq!(control.instance_id().unwrap().as_str(), "127.0.0.1:7320");
    assert_eq!(control.fleet_listen_address().to_string(), "127.0.0.9:7320");
}
