//! A control instance in virtual time, with entries and targets that report to it.
#![allow(dead_code)]

use std::{collections::BTreeMap, time::Duration};

use kqr_agreement::{Configuration, DurableState, Machine, Options, VoterId};
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
    /// What the instance has synced to its disk.
    durable: DurableState,
}

impl Control {
    /// Creates an instance that has just started and has no leader.
    pub fn started() -> Self {
        Self {
            node: new_node(DurableState::default()),
            now: Instant(1_000_000),
            sequence: 0,
            durable: DurableState::default(),
        }
    }

    /// Creates an instance that is the leader and has no catalog.
    pub fn without_catalog() -> Self {
        let mut control = Self::started();
        control.run(2_000);
        control
    }

    /// Creates an instance that is the leader and has a catalog.
    pub fn leading() -> Self {
        let mut control = Self::without_catalog();
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
        for output in &outputs {
            if let FleetOutput::Persist(record) = output {
                self.durable.apply(record.clone());
            }
        }
        outputs
    }

    /// Replaces the leader by one that has only what was synced, and waits until it leads.
    pub fn change_leader(&mut self) {
        self.node = new_node(self.durable.clone());
        self.run(2_000);
    }

    /// Restarts the instance from what was synced, so that it leads no more. Returns before it is elected again.
    pub fn lose_leadership(&mut self) {
        self.restart();
    }

    /// Restarts the instance from what was synced. Returns the outputs of its first tick.
    pub fn restart(&mut self) -> Vec<FleetOutput> {
        self.node = new_node(self.durable.clone());
        self.input(FleetInput::Tick)
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
        assert!(self.submit_report(report), "{:?}", self.node.leader());
    }

    /// Passes on a report. Returns whether it was answered at once.
    pub fn submit_report(&mut self, report: TargetReport) -> bool {
        let call = CallId(2);
        let report = Box::new(report);
        let outputs = self.input(FleetInput::Report { call, report });
        let mut answers = outputs.iter();
        answers.any(|output| matches!(output, FleetOutput::Reported { .. }))
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

fn new_node(durable: DurableState) -> FleetNode {
    let own = VoterId::new("control-1".parse().unwrap(), Incarnation(1));
    let agreement = Options {
        founding: Configuration::of_voters([own.clone()]),
        ..Options::default()
    };
    FleetNode::new(FleetOptions::default(), Machine::new(own, agreement, durable))
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
