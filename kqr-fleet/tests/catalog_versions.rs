//! Versions of catalogs at both ends of their range, and what an acknowledgement rests on.

mod control;

use std::{collections::BTreeMap, sync::Arc};

use control::{Control, entry, request};
use kqr_fleet::{
    CallId, Catalog, CatalogPart, CatalogReceiver, CatalogVersion, FleetInput, FleetOutput, Limits,
    SyncReply, SyncRequest,
};

const CALL: CallId = CallId(7);

fn catalog(version: u64, source: &str) -> Catalog {
    Catalog {
        version: CatalogVersion(version),
        queues: Vec::new(),
        services: BTreeMap::new(),
        limits: Limits::default(),
        source: source.to_owned(),
    }
}

fn replace(control: &mut Control, version: u64, source: &str) -> Vec<FleetOutput> {
    control.input(FleetInput::Replace {
        call: CALL,
        catalog: Box::new(catalog(version, source)),
    })
}

fn read(control: &mut Control) -> Option<Arc<Catalog>> {
    let outputs = control.input(FleetInput::Read { call: CALL });
    let mut read = outputs.into_iter().filter_map(|output| match output {
        FleetOutput::CatalogRead { catalog, .. } => Some(catalog),
        _ => None,
    });
    read.next().expect("the leader answers")
}

fn is_accepted(output: &FleetOutput) -> bool {
    matches!(output, FleetOutput::Accepted { .. })
}

fn is_persisted(output: &FleetOutput) -> bool {
    matches!(output, FleetOutput::Persist(_))
}

/// Returns the part of the catalog that an entry with `catalog` receives.
fn part_for(control: &mut Control, catalog: Option<CatalogVersion>) -> Option<CatalogPart> {
    let request = SyncRequest {
        catalog,
        ..request(&entry("a", "north", 250))
    };
    match control.node.sync(control.now, &request) {
        SyncReply::Current { catalog, .. } => catalog,
        SyncReply::NotLeader { .. } => panic!("the instance leads"),
    }
}

/// Guards against a first catalog of version 0 that was acknowledged without being logged.
#[test]
fn a_first_catalog_of_version_0_is_logged_before_it_is_acknowledged() {
    let mut control = Control::without_catalog();
    let outputs = replace(&mut control, 0, "first");
    let accepted_at = outputs.iter().position(is_accepted);
    let persisted_at = outputs.iter().position(is_persisted);
    assert!(
        persisted_at.is_some() && persisted_at < accepted_at,
        "{outputs:?}"
    );
    assert_eq!(read(&mut control).as_deref(), Some(&catalog(0, "first")));
    control.change_leader();
    assert_eq!(read(&mut control).as_deref(), Some(&catalog(0, "first")));

    let outputs = replace(&mut control, 0, "second");
    assert!(
        outputs.iter().any(is_accepted) && !outputs.iter().any(is_persisted),
        "{outputs:?}"
    );
    assert_eq!(read(&mut control).as_deref(), Some(&catalog(0, "first")));
    replace(&mut control, 1, "third");
    assert_eq!(read(&mut control).as_deref(), Some(&catalog(1, "third")));
}

/// Guards against an acknowledgement of version 0 by an instance that has no leader and no catalog.
#[test]
fn an_instance_without_a_leader_and_a_catalog_acknowledges_no_version() {
    let mut control = Control::started();
    let outputs = replace(&mut control, 0, "first");
    assert!(!outputs.iter().any(is_accepted), "{outputs:?}");
    let is_failed = |output: &FleetOutput| matches!(output, FleetOutput::CallFailed { .. });
    assert!(outputs.iter().any(is_failed), "{outputs:?}");
}

/// Guards against entries that take a catalog of version 0 for the one that they lack.
#[test]
fn entries_receive_a_catalog_of_version_0_once() {
    let mut control = Control::without_catalog();
    assert_eq!(part_for(&mut control, None), None);
    replace(&mut control, 0, "");
    let part = part_for(&mut control, None).expect("the entry has no catalog");
    let mut receiver = CatalogReceiver::default();
    assert_eq!(receiver.progress(), None);
    assert_eq!(receiver.add(part).unwrap(), Some(catalog(0, "")));
    assert_eq!(part_for(&mut control, Some(CatalogVersion(0))), None);
}

fn is_applied(output: &FleetOutput) -> bool {
    matches!(output, FleetOutput::CatalogApplied { .. })
}

/// Guards against a catalog of version 0 that is applied without being reported to the log and the metrics.
#[test]
fn a_catalog_of_version_0_is_reported_when_it_is_applied() {
    let mut control = Control::without_catalog();
    assert!(replace(&mut control, 0, "first").iter().any(is_applied));
    assert!(!replace(&mut control, 0, "first").iter().any(is_applied));
}

/// Guards against an instance that reports no catalog after a restart, because it has it from a snapshot.
#[test]
fn the_catalog_of_a_snapshot_is_reported_after_a_restart() {
    let mut control = Control::without_catalog();
    for version in 1..2_000 {
        replace(&mut control, version, "next");
    }
    let outputs = control.restart();
    assert!(outputs.iter().any(is_applied), "{outputs:?}");
}

/// Versions near the largest one must neither wrap nor be mixed up with smaller ones.
#[test]
fn the_largest_versions_are_told_apart_and_never_reverted() {
    let mut control = Control::without_catalog();
    replace(&mut control, u64::MAX - 1, "last but one");
    replace(&mut control, u64::MAX, "last");
    for version in [0, 1, u64::MAX - 1, u64::MAX] {
        assert!(replace(&mut control, version, "other").iter().any(is_accepted));
    }
    control.change_leader();
    assert_eq!(read(&mut control).as_deref(), Some(&catalog(u64::MAX, "last")));
    assert!(part_for(&mut control, Some(CatalogVersion(u64::MAX - 1))).is_some());
    assert_eq!(part_for(&mut control, Some(CatalogVersion(u64::MAX))), None);
}
