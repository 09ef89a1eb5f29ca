//! A control instance in virtual time, with entries and targets that report to it.
#![allow(dead_code)]

use std::{collections::BTreeMap, time::Duration};

use kqr_agreement::{Configuration, Machine, Options, VoterId};
use kqr_fleet::{
    CallId, Catalog, CatalogVersion, EntryInfo, FleetInput, FleetNode, FleetOptions, FleetOutput, Limits,
    Resources, ServicePool, SyncReply, SyncRequest, SyncView, TargetRecord, TargetReport, ViewRevision,
};
use kqr_types::{DataCentre, Incarnation, Instant, TargetId};

/// A control instance that is the only voter, with virtual time.
pub struct Control {
    pub node: FleetNode,
    pub now: Instant,
    sequence: u64,
}

impl Control {
    /// Creates an instance that is the leader and has a catalog.
    pub fn leading() -> Self {
        let own = VoterId::new("control-1".parse().unwrap(), Incarnation(1));
        let agreement = Options {
            founding: Configuration::of_voters([own.clone()]),
            ..Options::default()
        };
        let machine = Machine::new(own, agreement, kqr_agreement::DurableState::default());
        let mut control = Self {
            node: FleetNode::new(FleetOptions::default(), machine),
            now: Instant(1_000_000),
            sequence: 0,
        };
        control.run(2_000);
        let pool = ServicePool {
            max_connections: 64,
            enforces_capacity: true,
            is_standby: false,
        };
        let catalog = Catalog {
            version: CatalogVersion(1),
            queues: Vec::new(),
            services: BTreeMap::from([("press".parse().unwrap(), pool)]),
            limits: Limits::default(),
            source: String::new(),
        };
        let call = CallId(1);
        let catalog = Box::new(catalog);
        control.input(FleetInput::Replace { call, catalog });
        control
    }

    pub fn input(&mut self, input: FleetInput) -> Vec<FleetOutput> {
        let mut outputs = Vec::new();
        self.node.handle(self.now, input, &mut outputs);
        outputs
    }

    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now = self.now + Duration::from_millis(20);
            self.input(FleetInput::Tick);
        }
    }

    /// Advances time by `millis` while `entries` synchronize every 200 ms. Returns the latest view of each.
    pub fn run_with_entries(&mut self, millis: u64, entries: &[EntryInfo]) -> BTreeMap<String, SyncView> {
        let mut views = BTreeMap::new();
        for _ in 0..millis / 200 {
            for entry in entries {
                if let Some(view) = self.sync(entry) {
                    views.insert(entry.id.to_string(), view);
                }
            }
            self.run(200);
        }
        views
    }

    pub fn sync(&mut self, entry: &EntryInfo) -> Option<SyncView> {
        match self.node.sync(self.now, &request(entry)) {
            SyncReply::Current { view, .. } => view,
            SyncReply::NotLeader { .. } => None,
        }
    }

    pub fn report(&mut self, record: TargetRecord, is_leaving: bool) {
        self.sequence += 1;
        let report = TargetReport::Present {
            record,
            sequence: self.sequence,
            is_leaving,
        };
        self.node.report(self.now, report).unwrap();
    }

    pub fn owners(&self) -> BTreeMap<TargetId, String> {
        let targets = self.node.state().targets().iter();
        targets
            .map(|(id, owned)| (id.clone(), owned.owner.entry.to_string()))
            .collect()
    }

    pub fn owned_count(&self, entry: &EntryInfo) -> usize {
        let owners = self.owners();
        owners
            .values()
            .filter(|owner| **owner == entry.id.as_str())
            .count()
    }
}

pub fn request(entry: &EntryInfo) -> SyncRequest {
    SyncRequest {
        entry: entry.clone(),
        catalog: None,
        catalog_progress: None,
        view: ViewRevision::default(),
        released: Vec::new(),
        heard: Vec::new(),
        reports: Vec::new(),
        unreachable: Vec::new(),
    }
}

pub fn entry(name: &str, data_centre: &str, weight: u32) -> EntryInfo {
    EntryInfo {
        id: name.parse().unwrap(),
        incarnation: Incarnation(1),
        data_centre: data_centre.parse().unwrap(),
        siblings: "127.0.0.1:7000".parse().unwrap(),
        reports: "127.0.0.1:7001".parse().unwrap(),
        weight,
        is_leaving: false,
    }
}

pub fn target(number: usize, data_centre: &str) -> TargetRecord {
    let data_centre: DataCentre = data_centre.parse().unwrap();
    TargetRecord {
        id: format!("target-{data_centre}-{number}").parse().unwrap(),
        life: Incarnation(1),
        service: "press".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre,
        capacity: Resources::default(),
        labels: Vec::new(),
    }
}
