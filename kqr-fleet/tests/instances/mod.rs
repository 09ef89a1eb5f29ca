//! Control instances in virtual time that are killed, lose their disks and are replaced by others.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use kqr_agreement::{Configuration, DurableState, Machine, Message, Options, Role, VoterId};
use kqr_fleet::{
    CallId, Catalog, CatalogVersion, FleetInput, FleetNode, FleetOptions, FleetOutput, Limits, SyncReply,
    SyncRequest, SyncView,
};
use kqr_types::{Incarnation, Instant};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval between ticks, in which all messages are delivered.
const TICK: Duration = Duration::from_millis(20);
/// Interval between the join requests of an instance without a leader.
const JOIN_INTERVAL: Duration = Duration::from_millis(700);
/// Time until a started process takes part.
const START_TIME: Duration = Duration::from_millis(100);

struct Instance {
    voter: VoterId,
    /// The state machine while the process runs.
    node: Option<FleetNode>,
    durable: DurableState,
    runs_from: Instant,
    next_join: Instant,
    is_frozen: bool,
}

/// The control instances of a system, of which any number may run.
pub struct Instances {
    pub now: Instant,
    pub rng: ChaCha8Rng,
    by_name: BTreeMap<String, Instance>,
    founding: Configuration,
    options: FleetOptions,
    messages: VecDeque<(VoterId, Message)>,
    next_number: usize,
    next_storage: u64,
    next_version: u64,
    /// Highest version that was acknowledged.
    pub acknowledged: u64,
}

impl Instances {
    /// Founds a system that tolerates `lost_disks`, with `spares` that do not vote, and waits for its leader.
    pub fn found(seed: u64, lost_disks: usize, spares: usize) -> Self {
        let voter_count = 2 * lost_disks + 1;
        let founders = (0..voter_count).map(|number| voter(&name(number), 1));
        let mut instances = Self {
            now: Instant(1_000_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            by_name: BTreeMap::new(),
            founding: Configuration::of_voters(founders),
            options: FleetOptions {
                voter_count,
                ..FleetOptions::default()
            },
            messages: VecDeque::new(),
            next_number: 0,
            next_storage: 1,
            next_version: 0,
            acknowledged: 0,
        };
        for _ in 0..voter_count + spares {
            instances.add();
        }
        instances.run(Duration::from_secs(4));
        assert!(instances.change(), "no leader after the founding");
        instances
    }

    /// Starts a new instance with an empty disk and returns its name.
    pub fn add(&mut self) -> String {
        let name = name(self.next_number);
        self.next_number += 1;
        let founder = voter(&name, 1);
        let voter = if self.founding.is_voter(&founder) {
            founder
        } else {
            self.next_storage += 1;
            voter(&name, self.next_storage)
        };
        self.insert(&name, voter);
        name
    }

    fn insert(&mut self, name: &str, voter: VoterId) {
        let instance = Instance {
            voter,
            node: None,
            durable: DurableState::default(),
            runs_from: Instant(0),
            next_join: Instant(0),
            is_frozen: false,
        };
        self.by_name.insert(name.to_owned(), instance);
        self.start(name);
    }

    /// Starts the process of an instance on the disk that it has.
    pub fn start(&mut self, name: &str) {
        let now = self.now;
        let seed = self.rng.random();
        let Some(instance) = self.by_name.get_mut(name) else {
            return;
        };
        let is_founder = self.founding.is_voter(&instance.voter);
        let agreement = Options {
            founding: if is_founder {
                self.founding.clone()
            } else {
                Configuration::default()
            },
            election_timeout: Duration::from_millis(450),
            heartbeat: Duration::from_millis(100),
            spread_divisor: 2,
            seed,
            ..Options::default()
        };
        let machine = Machine::new(instance.voter.clone(), agreement, instance.durable.clone());
        instance.node = Some(FleetNode::new(self.options, machine));
        instance.runs_from = now + START_TIME;
        instance.is_frozen = false;
    }

    /// Kills the process of an instance, which keeps what it synced.
    pub fn kill(&mut self, name: &str) {
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.node = None;
        }
    }

    /// Informs the process of an instance that it is about to end.
    pub fn announce_end(&mut self, name: &str) {
        self.input(name, FleetInput::HandOver);
    }

    /// Removes an instance and its disk for good.
    pub fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Replaces the disk of an instance by an empty one and starts it.
    pub fn wipe(&mut self, name: &str) {
        self.next_storage += 1;
        self.insert(name, voter(name, self.next_storage));
    }

    /// As [`wipe`](Self::wipe), with the storage incarnation that a clock which was set gives it.
    pub fn wipe_as(&mut self, name: &str, storage: u64) {
        self.insert(name, voter(name, storage));
    }

    /// Cuts an instance off from all others, or ends that.
    pub fn freeze(&mut self, name: &str, is_frozen: bool) {
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.is_frozen = is_frozen;
        }
    }

    pub fn names(&self) -> Vec<String> {
        self.by_name.keys().cloned().collect()
    }

    /// Returns the instance that leads with a lease.
    pub fn leader(&self) -> Option<String> {
        let leads = |instance: &&Instance| {
            let node = instance.node.as_ref();
            !instance.is_frozen && node.is_some_and(|node| node.holds_lease(self.now))
        };
        let mut named = self.by_name.iter();
        let leader = named.find(|(_, instance)| leads(instance));
        leader.map(|(name, _)| name.clone())
    }

    /// Returns the voters in the configuration of the leader.
    pub fn voters(&self) -> BTreeSet<String> {
        let leader = self.leader().and_then(|leader| self.by_name.get(&leader));
        let node = leader.and_then(|leader| leader.node.as_ref());
        let voters = node.map(|node| node.agreement().configuration().voters.clone());
        let voters = voters.unwrap_or_default().into_iter();
        voters.map(|voter| voter.instance.to_string()).collect()
    }

    /// Returns whether an instance hears a leader.
    pub fn hears_leader(&self, name: &str) -> bool {
        let node = self.by_name.get(name).and_then(|instance| instance.node.as_ref());
        node.is_some_and(|node| node.agreement().role().leader.is_some())
    }

    /// Advances time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            for name in self.names() {
                self.input(&name, FleetInput::Tick);
                self.request_join(&name);
            }
            while let Some((from, message)) = self.messages.pop_front() {
                let to = message.to.instance.to_string();
                if !self.is_cut_off(from.instance.as_str()) {
                    self.input(&to, FleetInput::Message { from, message });
                }
            }
        }
    }

    /// Runs until a change is accepted, for at most `limit`. Returns whether one was.
    pub fn run_until_changed(&mut self, limit: Duration) -> bool {
        let end = self.now + limit;
        while self.now < end {
            if self.change() {
                return true;
            }
        }
        false
    }

    /// Sends the next catalog to the leader. Returns whether it is accepted within 100 ms.
    pub fn change(&mut self) -> bool {
        self.next_version += 1;
        let version = self.next_version;
        let catalog = Box::new(catalog(version));
        let leader = self.leader();
        if let Some(leader) = &leader {
            let call = CallId(version);
            self.input(leader, FleetInput::Replace { call, catalog });
        }
        self.run(Duration::from_millis(100));
        self.acknowledged == version
    }

    /// Returns the version of the catalog that a leader has applied.
    pub fn applied_version(&self) -> Option<u64> {
        let leader = self.by_name.get(&self.leader()?)?;
        Some(leader.node.as_ref()?.state().catalog_version()?.0)
    }

    /// Sends a request of an entry to the leader. Returns its view, if the entry's is not current.
    pub fn sync(&mut self, request: &SyncRequest) -> Option<SyncView> {
        let leader = self.leader()?;
        let node = self.by_name.get_mut(&leader)?.node.as_mut()?;
        match node.sync(self.now, request) {
            SyncReply::Current { view, .. } => view,
            SyncReply::NotLeader { .. } => None,
        }
    }

    fn is_cut_off(&self, name: &str) -> bool {
        let instance = self.by_name.get(name);
        instance.is_none_or(|instance| {
            instance.node.is_none() || instance.is_frozen || instance.runs_from > self.now
        })
    }

    fn request_join(&mut self, name: &str) {
        let now = self.now;
        if self.is_cut_off(name) || self.hears_leader(name) {
            return;
        }
        let Some(instance) = self.by_name.get_mut(name).filter(|one| one.next_join <= now) else {
            return;
        };
        instance.next_join = now + JOIN_INTERVAL;
        let voter = instance.voter.clone();
        for other in self.names() {
            let voter = voter.clone();
            self.input(&other, FleetInput::Join { voter });
        }
    }

    fn input(&mut self, name: &str, input: FleetInput) {
        if self.is_cut_off(name) {
            return;
        }
        let now = self.now;
        let Some(instance) = self.by_name.get_mut(name) else {
            return;
        };
        let Some(node) = &mut instance.node else { return };
        let mut outputs = Vec::new();
        node.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                FleetOutput::Persist(record) => instance.durable.apply(record),
                FleetOutput::Send { message, .. } => {
                    self.messages.push_back((instance.voter.clone(), message));
                }
                FleetOutput::Accepted { version, .. } => {
                    self.acknowledged = self.acknowledged.max(version.0);
                }
                FleetOutput::RoleChanged(view) => {
                    assert!(view.role != Role::Leader || view.leader.is_some());
                }
                _ => {}
            }
        }
    }
}

fn name(number: usize) -> String {
    format!("control-{number:03}")
}

fn voter(name: &str, storage: u64) -> VoterId {
    VoterId::new(name.parse().unwrap(), Incarnation(storage))
}

fn catalog(version: u64) -> Catalog {
    Catalog {
        version: CatalogVersion(version),
        queues: Vec::new(),
        services: BTreeMap::new(),
        limits: Limits::default(),
        source: String::new(),
    }
}
