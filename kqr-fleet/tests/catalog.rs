//! Validation, routing and versions of catalogs.

use std::{collections::BTreeMap, time::Duration};

use kqr_fleet::{Catalog, CatalogError, CatalogVersion, Command, FleetState, Limits, Queue, ServicePool};

fn queue(name: &str, host: &str, path_prefix: &str) -> Queue {
    Queue {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        service: "press".parse().unwrap(),
        priority: 0,
        max_attempts: 2,
        slack_factor: 1.6,
        objective: Duration::from_millis(60),
        timeout: Duration::from_millis(1500),
    }
}

fn catalog(version: u64, queues: Vec<Queue>) -> Catalog {
    let pool = ServicePool {
        max_connections: 64,
        enforces_capacity: true,
        is_standby: false,
    };
    Catalog {
        version: CatalogVersion(version),
        queues,
        services: BTreeMap::from([("press".parse().unwrap(), pool)]),
        limits: Limits::default(),
        source: format!("version {version}"),
    }
}

#[test]
fn validation_rejects_inconsistent_catalogs() {
    let unknown_service = Queue {
        service: "other".parse().unwrap(),
        ..queue("a", "h", "/a/")
    };
    let no_timeout = Queue {
        timeout: Duration::ZERO,
        ..queue("a", "h", "/a/")
    };
    let error = |queues| catalog(1, queues).validate().unwrap_err();
    assert!(matches!(
        error(vec![unknown_service]),
        CatalogError::UnknownService { .. }
    ));
    assert!(matches!(
        error(vec![no_timeout]),
        CatalogError::ZeroTimeout { .. }
    ));
    let duplicate_route = vec![queue("a", "h", "/a/"), queue("b", "h", "/a/")];
    assert!(matches!(
        error(duplicate_route),
        CatalogError::DuplicateRoute { .. }
    ));
    let valid = vec![
        queue("a", "h", "/a/"),
        queue("b", "h", "/b/"),
        queue("c", "i", "/a/"),
    ];
    assert_eq!(catalog(1, valid).validate(), Ok(()));
}

#[test]
fn routing_selects_the_longest_matching_prefix() {
    let catalog = catalog(1, vec![queue("short", "h", "/a/"), queue("long", "h", "/a/b/")]);
    let route = |host, path| {
        catalog
            .route(host, path)
            .map(|(queue, rest)| (queue.name.as_str(), rest))
    };
    assert_eq!(route("h", "/a/b/1"), Some(("long", "1")));
    assert_eq!(route("H", "/a/1"), Some(("short", "1")));
    assert_eq!(route("h", "/c/1"), None);
    assert_eq!(route("other", "/a/1"), None);
}

#[test]
fn only_a_higher_version_replaces_the_catalog() {
    let mut state = FleetState::default();
    for version in [3, 1, 7, 7, 5] {
        state.apply(Command::Replace(Box::new(catalog(version, Vec::new()))));
    }
    let mut other = catalog(7, Vec::new());
    other.source = "other content".to_owned();
    state.apply(Command::Replace(Box::new(other)));
    assert_eq!(state.catalog_version(), Some(CatalogVersion(7)));
    assert_eq!(state.catalog().unwrap().source, "version 7");
    let restored = FleetState::restore(&state.snapshot().unwrap()).unwrap();
    assert_eq!(restored, state);
}
