//! A small network of cell instances in virtual time that checks epochs and leases.
#![allow(dead_code, clippy::unwrap_used, clippy::missing_panics_doc)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bincode::Options as _;
use kqr_membership::{
    Cell, CellDurableState, CellMessage, Input, InstanceIncarnation, Options, Output, WallClock,
};
use kqr_types::{CellView, Epoch, Incarnation, InstanceId, Instant, MemberState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// More messages than this under way at once are a storm.
const MOST_UNDER_WAY: usize = 10_000;

const TICK: Duration = Duration::from_millis(25);
/// How long a member copies what it missed.
const COPY: Duration = Duration::from_millis(100);

pub struct Node {
    pub cell: Cell,
    pub is_isolated: bool,
    /// Latest epoch that was put out.
    pub epoch: Epoch,
    /// Epoch and end of the lease in the network's time.
    pub lease: (Epoch, Instant),
    pub installed: Instant,
    pub disk: CellDurableState,
    pub is_leaving: bool,
    pub has_left: bool,
    pub since: WallClock,
    pub bytes: u64,
    /// Rate of the clock in thousandths.
    rate: u64,
    next_tick: Instant,
}

pub struct Network {
    pub now: Instant,
    pub nodes: BTreeMap<InstanceId, Node>,
    pub rng: ChaCha8Rng,
    pub loss_percent: u32,
    /// Links that carry nothing, each in one direction.
    pub cut: BTreeSet<(InstanceId, InstanceId)>,
    pub repeat_percent: u32,
    pub max_delay_micros: u64,
    pub views: BTreeMap<Epoch, CellView>,
    pub lease_checks: u64,
    /// Whether instances keep what they persist over a restart.
    pub has_disks: bool,
    /// Largest deviation of the clocks' rates, in thousandths.
    pub drift_per_mille: u64,
    /// Whether a broken promise was seen; it fails the test unless it is looked for.
    pub broken: Option<String>,
    /// Members that do not vote.
    pub extras: Vec<InstanceId>,
    members: Vec<InstanceId>,
    witnesses: Vec<InstanceId>,
    disks: BTreeMap<InstanceId, (Incarnation, CellDurableState)>,
    lives: u64,
    queue: BTreeMap<(Instant, u64), (InstanceId, Box<CellMessage>)>,
    sequence: u64,
    seed: u64,
}

pub fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

impl Network {
    pub fn new(seed: u64, members: &[&str], witnesses: &[&str]) -> Self {
        Self {
            now: Instant(1_000_000_000),
            nodes: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss_percent: 0,
            cut: BTreeSet::new(),
            repeat_percent: 0,
            max_delay_micros: 3_000,
            views: BTreeMap::new(),
            lease_checks: 0,
            has_disks: false,
            drift_per_mille: 10,
            broken: None,
            extras: Vec::new(),
            members: members.iter().map(|name| id(name)).collect(),
            witnesses: witnesses.iter().map(|name| id(name)).collect(),
            disks: BTreeMap::new(),
            lives: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            seed,
        }
    }

    /// Starts all instances and lets them settle.
    pub fn settled(seed: u64, members: &[&str], witnesses: &[&str]) -> Self {
        let mut network = Self::new(seed, members, witnesses);
        network.start_all();
        network.run(Duration::from_secs(5));
        network
    }

    pub fn ids(&self) -> Vec<InstanceId> {
        self.members.iter().chain(&self.witnesses).cloned().collect()
    }

    pub fn start_all(&mut self) {
        for id in self.ids() {
            self.start(&id);
        }
    }

    pub fn start(&mut self, id: &InstanceId) {
        if self.nodes.contains_key(id) {
            return;
        }
        self.lives += 1;
        let drift = self.drift_per_mille;
        let incarnation = Incarnation(self.lives);
        let extras = &self.extras;
        let voters = self.ids().into_iter().filter(|id| !extras.contains(id));
        let mut options = Options::new(id.clone(), incarnation, voters);
        options.seed = self.rng.random();
        options.wall_clock = WallClock(self.now.0 / 1_000);
        if self.witnesses.contains(id) {
            options.weight = None;
        }
        let (storage, disk) = self
            .disks
            .get(id)
            .cloned()
            .unwrap_or((incarnation, CellDurableState::default()));
        options.storage = storage;
        self.disks.insert(id.clone(), (storage, disk.clone()));
        let node = Node {
            cell: Cell::new(options, disk.clone()),
            is_isolated: false,
            epoch: Epoch(0),
            lease: (Epoch(0), Instant(0)),
            installed: self.now,
            disk,
            is_leaving: false,
            has_left: false,
            since: WallClock(0),
            bytes: 0,
            rate: self.rng.random_range(1_000 - drift..=1_000 + drift),
            next_tick: self.now,
        };
        self.nodes.insert(id.clone(), node);
    }

    pub fn crash(&mut self, id: &InstanceId) {
        let Some(node) = self.nodes.remove(id) else { return };
        if self.has_disks {
            self.disks.get_mut(id).unwrap().1 = node.disk;
        } else {
            self.disks.remove(id);
        }
    }

    pub fn isolate(&mut self, id: &InstanceId, is_isolated: bool) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.is_isolated = is_isolated;
        }
    }

    pub fn leader(&self) -> Option<InstanceId> {
        let leads = |(_, node): &(&InstanceId, &Node)| node.cell.is_leader() && !node.is_isolated;
        self.nodes.iter().find(leads).map(|(id, _)| id.clone())
    }

    pub fn view(&self, id: &InstanceId) -> &CellView {
        self.nodes[id].cell.view()
    }

    pub fn holds_lease(&self, id: &InstanceId) -> bool {
        let node = self.nodes.get(id);
        node.is_some_and(|node| node.lease.1 > self.now && node.lease.0 == node.cell.view().epoch)
    }

    /// Returns whether all members run, agree, are full and hold leases.
    pub fn is_whole(&self) -> bool {
        let latest = self.nodes.values().map(|node| node.cell.view().epoch).max();
        self.members.iter().all(|id| {
            let Some(node) = self.nodes.get(id) else {
                return false;
            };
            let view = node.cell.view();
            let is_full = |id| {
                view.member(id)
                    .is_some_and(|member| member.state == MemberState::Full)
            };
            Some(view.epoch) == latest && self.members.iter().all(is_full) && self.holds_lease(id)
        })
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let ticks = self.nodes.iter().map(|(id, node)| (node.next_tick, id.clone()));
            let (tick, id) = ticks.min().unwrap_or((Instant::MAX, self.members[0].clone()));
            let delivery = self.queue.keys().next().copied();
            if let Some(key) = delivery.filter(|(at, _)| *at <= tick && *at <= end) {
                self.now = key.0;
                let (to, message) = self.queue.remove(&key).unwrap();
                self.handle(&to, Input::Message(message));
                continue;
            }
            if tick > end {
                break;
            }
            self.now = tick;
            self.nodes.get_mut(&id).unwrap().next_tick = tick + TICK;
            self.handle(&id, Input::Tick);
            self.copy(&id);
        }
        self.now = end;
    }

    fn copy(&mut self, id: &InstanceId) {
        let node = &self.nodes[id];
        let view = node.cell.view();
        let is_syncing = view
            .member(id)
            .is_some_and(|member| member.state == MemberState::Syncing);
        if is_syncing && self.now > node.installed + COPY {
            let epoch = view.epoch;
            self.handle(id, Input::Synced { epoch });
        }
    }

    pub fn handle(&mut self, id: &InstanceId, input: Input) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        let local = Instant(self.now.0 * node.rate / 1000);
        node.is_leaving |= input == Input::Leave;
        let mut outputs = Vec::new();
        node.cell.handle(local, input, &mut outputs);
        for output in outputs {
            self.perform(id, output);
        }
    }

    fn perform(&mut self, id: &InstanceId, output: Output) {
        let now = self.now;
        let node = self.nodes.get_mut(id).unwrap();
        match output {
            Output::Send { to, message } => self.send(id, &to, &message),
            Output::Persist(record) => node.disk.apply(record),
            Output::Epoch { view, since } => {
                node.installed = now;
                node.epoch = view.epoch;
                node.since = since;
                self.check_view(id, &view);
            }
            Output::Lease { until } => {
                node.lease = (node.epoch, Instant(until.0 * 1000 / node.rate));
                self.check_lease(id);
            }
            Output::Left => node.has_left = true,
            Output::Suspicion { .. } => {}
        }
    }

    fn fail(&mut self, what: &str) {
        self.broken
            .get_or_insert_with(|| format!("seed {}: {what}", self.seed));
    }

    /// Checks that an epoch has one view, and that whoever is not in it has no lease.
    fn check_view(&mut self, id: &InstanceId, view: &CellView) {
        if self.views.entry(view.epoch).or_insert_with(|| view.clone()) != view {
            self.fail(&format!("{id} installs another view of epoch {}", view.epoch));
        }
        let outside = |(other, node): &(&InstanceId, &Node)| {
            node.lease.1 > self.now && node.lease.0 < view.epoch && view.member(other).is_none()
        };
        if let Some(other) = self.nodes.iter().find(outside).map(|(other, _)| other.clone()) {
            self.fail(&format!(
                "{other} holds a lease and is not in epoch {}",
                view.epoch
            ));
        }
    }

    /// Checks that nobody holds a lease of another epoch.
    fn check_lease(&mut self, id: &InstanceId) {
        self.lease_checks += 1;
        let (epoch, until) = self.nodes[id].lease;
        if until <= self.now {
            return;
        }
        let differs = |node: &Node| node.lease.1 > self.now && node.lease.0 != epoch;
        let other = self
            .nodes
            .iter()
            .find(|(_, node)| differs(node))
            .map(|(other, _)| other.clone());
        if let Some(other) = other {
            self.fail(&format!("{id} and {other} hold leases of different epochs"));
        }
    }

    fn send(&mut self, from: &InstanceId, to: &InstanceId, message: &CellMessage) {
        let bytes = bincode::DefaultOptions::new().serialized_size(message).unwrap();
        let node = self.nodes.get_mut(from).unwrap();
        node.bytes += bytes;
        let is_isolated = node.is_isolated || self.nodes.get(to).is_none_or(|node| node.is_isolated);
        let link = (from.clone(), to.clone());
        if is_isolated || self.cut.contains(&link) || self.rng.random_ratio(self.loss_percent, 100) {
            return;
        }
        assert!(
            self.queue.len() < MOST_UNDER_WAY,
            "seed {}: a storm of messages",
            self.seed
        );
        let copies = 1 + u32::from(self.rng.random_ratio(self.repeat_percent, 100));
        for _ in 0..copies {
            let delay = Duration::from_micros(self.rng.random_range(100..=self.max_delay_micros));
            self.sequence += 1;
            let key = (self.now + delay, self.sequence);
            self.queue.insert(key, (to.clone(), Box::new(message.clone())));
        }
    }

    pub fn assert_sound(&self) {
        assert_eq!(self.broken, None);
    }

    pub fn life(&self, id: &InstanceId) -> InstanceIncarnation {
        let member = self.nodes[id].cell.view().member(id).unwrap();
        InstanceIncarnation {
            instance: id.clone(),
            incarnation: member.incarnation,
        }
    }
}

impl Network {
    /// Describes each instance for a failure's message.
    pub fn describe(&self) -> String {
        let describe = |(id, node): (&InstanceId, &Node)| {
            let cell = &node.cell;
            format!(
                "{id}: {:?} {:?} {:?} lease {:?}",
                cell.group(),
                cell.agreement(),
                cell.view(),
                node.lease
            )
        };
        let lines: Vec<String> = self.nodes.iter().map(describe).collect();
        lines.join("\n")
    }
}
