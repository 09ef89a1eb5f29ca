//! What entries learn about control instances that are replaced.

mod instances;

use std::time::Duration;

use instances::Instances;
use kqr_fleet::{EntryInfo, SyncRequest, ViewRevision};
use kqr_types::Incarnation;

const CATCH_UP: Duration = Duration::from_secs(4);

fn request(view: ViewRevision) -> SyncRequest {
    SyncRequest {
        entry: EntryInfo {
            id: "entry".parse().unwrap(),
            incarnation: Incarnation(1),
            data_centre: "a".parse().unwrap(),
            siblings: "127.0.0.1:7000".parse().unwrap(),
            reports: "127.0.0.1:7001".parse().unwrap(),
            weight: 1,
            is_leaving: false,
        },
        catalog: None,
        catalog_progress: None,
        view,
        released: Vec::new(),
        heard: Vec::new(),
        reports: Vec::new(),
        unreachable: Vec::new(),
    }
}

/// An entry that had the current view kept the names of instances that were gone, and did not learn their successors'.
#[test]
fn an_entry_learns_the_successor_of_a_control_instance() {
    for seed in 0..20 {
        let mut instances = Instances::found(seed, 1, 0);
        instances.run(CATCH_UP);
        let view = instances.sync(&request(ViewRevision::default())).unwrap();
        let leader = instances.leader().unwrap();
        let lost = instances.names().into_iter().find(|name| *name != leader);
        instances.remove(&lost.unwrap());
        let successor = instances.add();
        // The entry stays in contact.
        for _ in 0..40 {
            instances.run(Duration::from_millis(100));
            instances.sync(&request(view.revision));
        }
        assert!(instances.voters().contains(&successor), "seed {seed}");
        assert_eq!(instances.leader(), Some(leader), "seed {seed}");
        let next = instances.sync(&request(view.revision));
        let controls = next.unwrap_or(view).controls;
        assert!(
            controls.iter().any(|control| control.as_str() == successor),
            "seed {seed}: the entry knows only {controls:?}"
        );
    }
}
