//! Settings files: reading, validation and reloading.

use kqr_runtime::{SettingsFile, control::ControlSettings, entry::EntrySettings};

const ENTRY_YAML: &str = "name: entry-1\ndata_centre: uppsala\naddress: 127.0.0.1\ncallers: \"127.0.0.1:8000\"\noperators: \"127.0.0.1:8002\"\n\
    readiness: \"127.0.0.1:8001\"\nfirst_port: 7320\nseeds: [\"127.0.0.2:8002\"]\nis_founding: false\nmax_lease_ms: 1000\n\
    grace_s: 6\ncpu_share: 0.25\n";

const CONTROL_YAML: &str = "name: control-1\naddress: 127.0.0.1\nfirst_port: 7320\noperators: \"127.0.0.1:8002\"\n\
    data_folder: /data\nseeds: [\"127.0.0.1:8002\", \"127.0.0.2:8002\"]\nis_founding: true\nlost_disks: 1\n";

#[test]
fn entry_settings_are_read_and_reloaded_after_a_change() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.yaml");
    std::fs::write(&path, ENTRY_YAML).unwrap();
    let (mut file, settings) = SettingsFile::open::<EntrySettings>(&path).unwrap();
    settings.check().unwrap();
    assert_eq!(settings.weight(), 250);
    assert_eq!(settings.seed_addresses()[0].to_string(), "127.0.0.2:7323");
    assert!(
        file.reload::<EntrySettings>().unwrap().is_none(),
        "unchanged content is not reloaded"
    );
    std::fs::write(&path, ENTRY_YAML.replace("127.0.0.2", "127.0.0.3")).unwrap();
    let changed = file.reload::<EntrySettings>().unwrap().unwrap();
    assert_eq!(changed.seeds[0].to_string(), "127.0.0.3:8002");
}

#[test]
fn invalid_entry_settings_are_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.yaml");
    let is_rejected = |from: &str, to: &str| {
        std::fs::write(&path, ENTRY_YAML.replace(from, to)).unwrap();
        let opened = SettingsFile::open::<EntrySettings>(&path);
        opened.and_then(|(_, settings)| settings.check()).is_err()
    };
    assert!(is_rejected("seeds: [\"127.0.0.2:8002\"]", "seeds: []"));
    assert!(is_rejected("max_lease_ms: 1000", "max_lease_ms: 10"));
    assert!(is_rejected("grace_s: 6", "grace_s: 0"));
    assert!(is_rejected("cpu_share: 0.25", "cpu_share: 0"));
    assert!(is_rejected("first_port: 7320", "first_port: 65533"));
    assert!(is_rejected("address: 127.0.0.1", "address: nowhere"));
    assert!(is_rejected("name: entry-1\n", ""));
}

#[test]
fn a_control_instance_is_identified_by_its_address_for_other_instances() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("control.yaml");
    std::fs::write(&path, CONTROL_YAML).unwrap();
    let (_, settings) = SettingsFile::open::<ControlSettings>(&path).unwrap();
    settings.check().unwrap();
    assert_eq!(settings.instance_id().unwrap().as_str(), "127.0.0.1:7320");
    assert!(settings.seed_addresses().contains(&settings.discovery_address()));
    assert_eq!(settings.voter_count(), 3);
}

#[test]
fn bind_address_changes_the_listen_addresses_but_not_the_identity() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    let with_bind_address = |text: &str| {
        text.replace(
            "address: 127.0.0.1\n",
            "address: 127.0.0.1\nbind_address: 127.0.0.9\n",
        )
    };
    std::fs::write(&path, with_bind_address(ENTRY_YAML)).unwrap();
    let (_, entry) = SettingsFile::open::<EntrySettings>(&path).unwrap();
    assert_eq!(entry.sibling_address().to_string(), "127.0.0.1:7320");
    assert_eq!(
        entry.listen_address(entry.sibling_address()).to_string(),
        "127.0.0.9:7320"
    );
    std::fs::write(&path, with_bind_address(CONTROL_YAML)).unwrap();
    let (_, control) = SettingsFile::open::<ControlSettings>(&path).unwrap();
    assert_eq!(control.instance_id().unwrap().as_str(), "127.0.0.1:7320");
    assert_eq!(control.fleet_listen_address().to_string(), "127.0.0.9:7320");
}
