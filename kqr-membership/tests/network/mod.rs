//! Simulated network of the instances of a cell in virtual time, which checks the invariants of epochs and
//! leases.
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

/// Number of messages in flight above which the test fails because of a message storm.
const MAX_MESSAGES_IN_FLIGHT: usize = 10_000;

const TICK: Duration = Duration::from_millis(25);
/// Time that a member takes to copy the records that it lacks.
const SYNC_DURATION: Duration = Duration::from_millis(100);

pub struct SimulatedInstance {
    pub cell: Cell,
    pub is_isolated: bool,
    /// Latest epoch that the instance has emitted.
    pub epoch: Epoch,
    /// Epoch and end of the lease, in the network's time.
    pub lease: (Epoch, Instant),
    pub installed_at: Instant,
    pub disk: CellDurableState,
    pub is_leaving: bool,
    pub has_left: bool,
    pub since: WallClock,
    pub bytes: u64,
    /// Rate of the clock, in thousandths.
    rate: u64,
    next_tick: Instant,
}

pub struct Network {
    pub now: Instant,
    pub instances: BTreeMap<InstanceId, SimulatedInstance>,
    pub rng: ChaCha8Rng,
    pub loss_percent: u32,
    /// Links that drop all messages, each in one direction.
    pub cut_links: BTreeSet<(InstanceId, InstanceId)>,
    pub duplicate_percent: u32,
    pub max_delay_micros: u64,
    pub views: BTreeMap<Epoch, CellView>,
    pub lease_checks: u64,
    /// Whether the persisted state of an instance survives a restart.
    pub has_disks: bool,
    /// Largest deviation of the clocks' rates, in thousandths.
    pub drift_per_mille: u64,
    /// First violation of an invariant, if any. [`Self::assert_no_violation`] fails the test because of it.
    pub violation: Option<String>,
    /// Members that do not vote.
    pub non_voters: Vec<InstanceId>,
    members: Vec<InstanceId>,
    witnesses: Vec<InstanceId>,
    disks: BTreeMap<InstanceId, (Incarnation, CellDurableState)>,
    incarnations: u64,
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
            instances: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss_percent: 0,
            cut_links: BTreeSet::new(),
            duplicate_percent: 0,
            max_delay_micros: 3_000,
            views: BTreeMap::new(),
            lease_checks: 0,
            has_disks: false,
            drift_per_mille: 10,
            violation: None,
            non_voters: Vec::new(),
            members: members.iter().map(|name| id(name)).collect(),
            witnesses: witnesses.iter().map(|name| id(name)).collect(),
            disks: BTreeMap::new(),
            incarnations: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            seed,
        }
    }

    /// Starts all instances and runs until the cell has normally converged.
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
        if self.instances.contains_key(id) {
            return;
        }
        self.incarnations += 1;
        let drift = self.drift_per_mille;
        let incarnation = Incarnation(self.incarnations);
        let non_voters = &self.non_voters;
        let voters = self.ids().into_iter().filter(|id| !non_voters.contains(id));
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
        let instance = SimulatedInstance {
            cell: Cell::new(options, disk.clone()),
            is_isolated: false,
            epoch: Epoch(0),
            lease: (Epoch(0), Instant(0)),
            installed_at: self.now,
            disk,
            is_leaving: false,
            has_left: false,
            since: WallClock(0),
            bytes: 0,
            rate: self.rng.random_range(1_000 - drift..=1_000 + drift),
            next_tick: self.now,
        };
        self.instances.insert(id.clone(), instance);
    }

    pub fn crash(&mut self, id: &InstanceId) {
        let Some(instance) = self.instances.remove(id) else {
            return;
        };
        if self.has_disks {
            self.disks.get_mut(id).unwrap().1 = instance.disk;
        } else {
            self.disks.remove(id);
        }
    }

    pub fn isolate(&mut self, id: &InstanceId, is_isolated: bool) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.is_isolated = is_isolated;
        }
    }

    pub fn leader(&self) -> Option<InstanceId> {
        let leads = |(_, instance): &(&InstanceId, &SimulatedInstance)| {
            instance.cell.is_leader() && !instance.is_isolated
        };
        self.instances.iter().find(leads).map(|(id, _)| id.clone())
    }

    pub fn view(&self, id: &InstanceId) -> &CellView {
        self.instances[id].cell.view()
    }

    pub fn holds_lease(&self, id: &InstanceId) -> bool {
        let instance = self.instances.get(id);
        instance.is_some_and(|instance| {
            instance.lease.1 > self.now && instance.lease.0 == instance.cell.view().epoch
        })
    }

    /// Returns whether all members are running and full, have the latest epoch and hold leases.
    pub fn is_converged(&self) -> bool {
        let latest = self
            .instances
            .values()
            .map(|instance| instance.cell.view().epoch)
            .max();
        self.members.iter().all(|id| {
            let Some(instance) = self.instances.get(id) else {
                return false;
            };
            let view = instance.cell.view();
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
            let ticks = self
                .instances
                .iter()
                .map(|(id, instance)| (instance.next_tick, id.clone()));
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
            self.instances.get_mut(&id).unwrap().next_tick = tick + TICK;
            self.handle(&id, Input::Tick);
            self.sync_when_due(&id);
        }
        self.now = end;
    }

    fn sync_when_due(&mut self, id: &InstanceId) {
        let instance = &self.instances[id];
        let view = instance.cell.view();
        let is_syncing = view
            .member(id)
            .is_some_and(|member| member.state == MemberState::Syncing);
        if is_syncing && self.now > instance.installed_at + SYNC_DURATION {
            let epoch = view.epoch;
            self.handle(id, Input::Synced { epoch });
        }
    }

    pub fn handle(&mut self, id: &InstanceId, input: Input) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        let local = Instant(self.now.0 * instance.rate / 1000);
        instance.is_leaving |= input == Input::Leave;
        let mut outputs = Vec::new();
        instance.cell.handle(local, input, &mut outputs);
        for output in outputs {
            self.perform(id, output);
        }
    }

    fn perform(&mut self, id: &InstanceId, output: Output) {
        let now = self.now;
        let instance = self.instances.get_mut(id).unwrap();
        match output {
            Output::Send { to, message } => self.send(id, &to, &message),
            Output::Persist(record) => instance.disk.apply(record),
            Output::Epoch { view, since } => {
                instance.installed_at = now;
                instance.epoch = view.epoch;
                instance.since = since;
                self.check_view(id, &view);
            }
            Output::Lease { until } => {
                instance.lease = (instance.epoch, Instant(until.0 * 1000 / instance.rate));
                self.check_lease(id);
            }
            Output::Left => instance.has_left = true,
            Output::Suspicion { .. } => {}
        }
    }

    fn record_violation(&mut self, what: &str) {
        self.violation
            .get_or_insert_with(|| format!("seed {}: {what}", self.seed));
    }

    /// Checks that an epoch has one view, and that instances outside of that view hold no lease of an earlier
    /// epoch.
    fn check_view(&mut self, id: &InstanceId, view: &CellView) {
        if self.views.entry(view.epoch).or_insert_with(|| view.clone()) != view {
            self.record_violation(&format!("{id} installs a different view of epoch {}", view.epoch));
        }
        let outside = |(other, instance): &(&InstanceId, &SimulatedInstance)| {
            instance.lease.1 > self.now && instance.lease.0 < view.epoch && view.member(other).is_none()
        };
        if let Some(other) = self
            .instances
            .iter()
            .find(outside)
            .map(|(other, _)| other.clone())
        {
            self.record_violation(&format!(
                "{other} holds a lease of an earlier epoch and is not a member of epoch {}",
                view.epoch
            ));
        }
    }

    /// Checks that no other instance holds a lease of a different epoch.
    fn check_lease(&mut self, id: &InstanceId) {
        self.lease_checks += 1;
        let (epoch, until) = self.instances[id].lease;
        if until <= self.now {
            return;
        }
        let differs = |instance: &SimulatedInstance| instance.lease.1 > self.now && instance.lease.0 != epoch;
        let other = self
            .instances
            .iter()
            .find(|(_, instance)| differs(instance))
            .map(|(other, _)| other.clone());
        if let Some(other) = other {
            self.record_violation(&format!("{id} and {other} hold leases of different epochs"));
        }
    }

    fn send(&mut self, from: &InstanceId, to: &InstanceId, message: &CellMessage) {
        let bytes = bincode::DefaultOptions::new().serialized_size(message).unwrap();
        let instance = self.instances.get_mut(from).unwrap();
        instance.bytes += bytes;
        let is_isolated =
            instance.is_isolated || self.instances.get(to).is_none_or(|instance| instance.is_isolated);
        let link = (from.clone(), to.clone());
        if is_isolated || self.cut_links.contains(&link) || self.rng.random_ratio(self.loss_percent, 100) {
            return;
        }
        assert!(
            self.queue.len() < MAX_MESSAGES_IN_FLIGHT,
            "seed {}: message storm: too many messages in flight",
            self.seed
        );
        let copies = 1 + u32::from(self.rng.random_ratio(self.duplicate_percent, 100));
        for _ in 0..copies {
            let delay = Duration::from_micros(self.rng.random_range(100..=self.max_delay_micros));
            self.sequence += 1;
            let key = (self.now + delay, self.sequence);
            self.queue.insert(key, (to.clone(), Box::new(message.clone())));
        }
    }

    pub fn assert_no_violation(&self) {
        assert_eq!(self.violation, None);
    }

    pub fn identity(&self, id: &InstanceId) -> InstanceIncarnation {
        let member = self.instances[id].cell.view().member(id).unwrap();
        InstanceIncarnation {
            instance: id.clone(),
            incarnation: member.incarnation,
        }
    }
}

impl Network {
    /// Describes the state of each instance for the message of a failed assertion.
    pub fn describe(&self) -> String {
        let describe = |(id, instance): (&InstanceId, &SimulatedInstance)| {
            let cell = &instance.cell;
            format!(
                "{id}: {:?} {:?} {:?} lease {:?}",
                cell.group(),
                cell.agreement(),
                cell.view(),
                instance.lease
            )
        };
        let lines: Vec<String> = self.instances.iter().map(describe).collect();
        lines.join("\n")
    }
}
