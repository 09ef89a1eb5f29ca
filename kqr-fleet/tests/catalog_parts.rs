//! Long catalogs reach entries in parts, so that slow links carry the rest of the exchange meanwhile.

mod control;

use std::{collections::BTreeMap, time::Duration};

use control::{Control, entry, request};
use kqr_fleet::{
    CallId, Catalog, CatalogPart, CatalogReceiver, CatalogVersion, FleetInput, Limits, Queue, ServicePool,
    SyncReply, SyncRequest,
};

/// Bytes that a link of 2 Mbit/s carries within the timeout of an exchange of 400 ms.
const MAX_REPLY_BYTES: usize = 100_000;
/// Bytes that it carries within half of the 3 s in which a change must be in force.
const MAX_CATALOG_BYTES: usize = 375_000;

fn catalog(version: u64, queues: usize) -> Catalog {
    let pool = ServicePool {
        max_connections: 64,
        enforces_capacity: true,
        is_standby: false,
    };
    let queue = |number: usize| Queue {
        name: format!("r-{:07x}", number * 2_654_435_761 % 0x0fff_ffff),
        host: format!("{:04x}.example", number * 40_503 % 0xffff),
        path_prefix: format!("/{:08x}/", number * 2_246_822_519 % 0xffff_ffff),
        service: "press".parse().unwrap(),
        priority: 0,
        max_attempts: 3,
        slack_factor: 1.6,
        objective: Duration::from_millis(60),
        timeout: Duration::from_millis(1500),
    };
    Catalog {
        version: CatalogVersion(version),
        queues: (0..queues).map(queue).collect(),
        services: BTreeMap::from([("press".parse().unwrap(), pool)]),
        limits: Limits::default(),
        source: "x".repeat(queues * 250),
    }
}

fn replace(control: &mut Control, catalog: Catalog) {
    let call = CallId(catalog.version.0);
    let catalog = Box::new(catalog);
    control.input(FleetInput::Replace { call, catalog });
}

/// Exchanges state with control once. Returns the part in the reply.
fn receive(
    control: &mut Control,
    receiver: &mut CatalogReceiver,
    known: Option<CatalogVersion>,
) -> Option<CatalogPart> {
    let request = SyncRequest {
        catalog: known,
        catalog_progress: receiver.progress(),
        ..request(&entry("a", "north", 250))
    };
    match control.node.sync(control.now, &request) {
        SyncReply::Current { catalog, .. } => catalog,
        SyncReply::NotLeader { .. } => panic!("the instance leads"),
    }
}

#[test]
fn a_long_catalog_arrives_in_parts() {
    let mut control = Control::leading();
    let long = catalog(2, 5_000);
    replace(&mut control, long.clone());
    let mut receiver = CatalogReceiver::default();
    let (mut total, mut parts) = (0, 0);
    let complete = loop {
        let part = receive(&mut control, &mut receiver, Some(CatalogVersion(1))).unwrap();
        assert!(part.bytes.len() <= MAX_REPLY_BYTES);
        total += part.bytes.len();
        parts += 1;
        if let Some(catalog) = receiver.add(part).unwrap() {
            break catalog;
        }
    };
    assert!(parts > 1);
    assert!(total <= MAX_CATALOG_BYTES, "{total} bytes");
    assert_eq!(complete.queues, long.queues);
    assert_eq!(complete.version, long.version);
    assert_eq!(receiver.progress(), None);
    let current = receive(&mut control, &mut receiver, Some(CatalogVersion(2)));
    assert_eq!(current, None);
}

#[test]
fn a_newer_catalog_replaces_one_that_is_being_received() {
    let mut control = Control::leading();
    replace(&mut control, catalog(2, 5_000));
    let mut receiver = CatalogReceiver::default();
    let part = receive(&mut control, &mut receiver, None).unwrap();
    assert_eq!(receiver.add(part).unwrap(), None);
    replace(&mut control, catalog(3, 10));
    let part = receive(&mut control, &mut receiver, None).unwrap();
    let newer = receiver.add(part).unwrap().unwrap();
    assert_eq!((newer.version, newer.queues.len()), (CatalogVersion(3), 10));
}

#[test]
fn a_part_that_does_not_continue_the_received_ones_is_dropped() {
    let mut control = Control::leading();
    replace(&mut control, catalog(2, 5_000));
    let mut receiver = CatalogReceiver::default();
    let first = receive(&mut control, &mut receiver, None).unwrap();
    receiver.add(first.clone()).unwrap();
    let second = receive(&mut control, &mut receiver, None).unwrap();
    receiver.add(second.clone()).unwrap();
    assert_eq!(receiver.add(second).unwrap(), None);
    assert_eq!(receiver.progress(), None, "it begins anew");
    receiver.add(first.clone()).unwrap();
    assert_eq!(receiver.progress().unwrap().received as usize, first.bytes.len());
}

/// The list of all entries takes some KiB. With each change of a target it would fill slow links.
#[test]
fn a_known_list_of_entries_is_not_sent_again() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250), entry("b", "north", 250)];
    control.run_with_entries(3_000, &entries);
    let full = control.sync(&entries[0]).unwrap();
    assert_eq!(full.entries.as_ref().map(Vec::len), Some(2));
    control.report(control::target(1, "north"), false);
    control.run(400);
    let mut request = request(&entries[0]);
    request.view = full.revision;
    let view = |control: &mut Control, request: &SyncRequest| match control.node.sync(control.now, request) {
        SyncReply::Current { view, .. } => view,
        SyncReply::NotLeader { .. } => None,
    };
    let changed = view(&mut control, &request).unwrap();
    assert_eq!(changed.entries, None);
    assert_eq!(changed.revision.entries, full.revision.entries);
    control.sync(&entry("c", "north", 250));
    let grown = view(&mut control, &request).unwrap();
    assert_eq!(grown.entries.map(|entries| entries.len()), Some(3));
}
