//! Simulated network of machines in virtual time that loses, duplicates and reorders messages.
//!
//! The simulation asserts that there is at most one leader in a term, that all members apply the same log
//! and that no read is stale. [`Network::check_acknowledged`] asserts that acknowledged commands are kept.
#![allow(dead_code, clippy::unwrap_used, clippy::missing_panics_doc)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_agreement::{
    Configuration, DurableState, Index, Input, Machine, Message, Options, Output, ProposalResult, ReadMode,
    RequestId, Role, Term, VoterId,
};
use kqr_types::{Incarnation, Instant};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Limit of messages in flight. More indicate a message storm.
const MAX_IN_FLIGHT: usize = 10_000;

pub const TICK: Duration = Duration::from_millis(30);

/// First request identifier of voter changes. Lower identifiers are those of commands.
pub const FIRST_CHANGE_REQUEST: u64 = 1 << 40;

pub fn voter(name: usize, storage: u64) -> VoterId {
    VoterId::new(format!("i{name}").parse().unwrap(), Incarnation(storage))
}

pub struct Node {
    pub id: VoterId,
    pub machine: Option<Machine>,
    pub disk: DurableState,
    pub commands: Vec<u64>,
    pub is_isolated: bool,
    pub options: Options,
    /// Rate of the local clock, in thousandths of virtual time.
    clock_rate_per_mille: u64,
    next_tick: Instant,
    /// End of the write in progress.
    busy_until: Instant,
}

enum Event {
    Deliver(VoterId, Message),
}

pub struct Network {
    pub now: Instant,
    pub nodes: BTreeMap<VoterId, Node>,
    pub rng: ChaCha8Rng,
    pub loss_percent: u32,
    /// Links that drop all messages, each in one direction.
    pub blocked_links: BTreeSet<(VoterId, VoterId)>,
    pub duplicate_percent: u32,
    pub max_delay_micros: u64,
    /// Duration of a write. A member handles nothing while it writes.
    pub write_time: Duration,
    /// Mean number of inputs between crashes that happen partway through the outputs. Zero disables them.
    pub crash_one_in: u32,
    pub applied_log: Vec<u64>,
    pub results: BTreeMap<u64, ProposalResult>,
    pub messages: u64,
    pub completed_reads: u64,
    entries: BTreeMap<Index, (Term, Vec<u8>)>,
    leaders: BTreeMap<Term, VoterId>,
    reads: BTreeMap<RequestId, usize>,
    queue: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    seed: u64,
}

impl Network {
    pub fn new(seed: u64, voters: usize, non_members: usize, reads: ReadMode) -> Self {
        let mut network = Self {
            now: Instant(0),
            nodes: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss_percent: 0,
            blocked_links: BTreeSet::new(),
            duplicate_percent: 0,
            max_delay_micros: 2_000,
            write_time: Duration::ZERO,
            crash_one_in: 0,
            applied_log: Vec::new(),
            results: BTreeMap::new(),
            messages: 0,
            completed_reads: 0,
            entries: BTreeMap::new(),
            leaders: BTreeMap::new(),
            reads: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            seed,
        };
        let founding = Configuration::of_voters((0..voters).map(|name| voter(name, 1)));
        for name in 0..voters {
            network.add(voter(name, 1), founding.clone(), reads);
        }
        for name in voters..voters + non_members {
            network.add(voter(name, 1), Configuration::default(), reads);
        }
        network
    }

    pub fn add(&mut self, id: VoterId, founding: Configuration, reads: ReadMode) {
        let options = Options {
            founding,
            reads,
            seed: self.rng.random(),
            ..Options::default()
        };
        let node = Node {
            id: id.clone(),
            machine: Some(Machine::new(id.clone(), options.clone(), DurableState::default())),
            disk: DurableState::default(),
            commands: Vec::new(),
            is_isolated: false,
            options,
            clock_rate_per_mille: self.rng.random_range(990..=1010),
            next_tick: self.now,
            busy_until: self.now,
        };
        self.nodes.insert(id, node);
    }

    pub fn ids(&self) -> Vec<VoterId> {
        self.nodes.keys().cloned().collect()
    }

    pub fn leader(&self) -> Option<VoterId> {
        let leads = |node: &&Node| {
            let machine = node.machine.as_ref();
            machine.is_some_and(|machine| machine.role().role == Role::Leader && !node.is_isolated)
        };
        let latest = |node: &&Node| node.machine.as_ref().map(|machine| machine.role().term);
        self.nodes
            .values()
            .filter(leads)
            .max_by_key(latest)
            .map(|node| node.id.clone())
    }

    pub fn machine(&self, id: &VoterId) -> &Machine {
        self.nodes[id].machine.as_ref().unwrap()
    }

    pub fn crash(&mut self, id: &VoterId) {
        let node = self.nodes.get_mut(id).unwrap();
        node.machine = None;
        node.commands.clear();
    }

    pub fn restart(&mut self, id: &VoterId) {
        let node = self.nodes.get_mut(id).unwrap();
        if node.machine.is_none() {
            node.machine = Some(Machine::new(id.clone(), node.options.clone(), node.disk.clone()));
        }
    }

    pub fn isolate(&mut self, id: &VoterId, is_isolated: bool) {
        self.nodes.get_mut(id).unwrap().is_isolated = is_isolated;
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let (tick, id) = self
                .nodes
                .values()
                .map(|node| (node.next_tick, node.id.clone()))
                .min()
                .unwrap();
            let delivery = self.queue.keys().next().copied();
            if let Some(key) = delivery.filter(|(at, _)| *at <= tick && *at <= end) {
                self.now = key.0;
                let Some(Event::Deliver(from, message)) = self.queue.remove(&key) else {
                    continue;
                };
                let to = message.to.clone();
                match self.nodes.get(&to).map(|node| node.busy_until) {
                    Some(busy_until) if busy_until > self.now => {
                        self.queue
                            .insert((busy_until, key.1), Event::Deliver(from, message));
                    }
                    _ => self.handle(&to, Input::Message { from, message }),
                }
                continue;
            }
            if tick > end {
                break;
            }
            self.now = tick;
            let node = self.nodes.get_mut(&id).unwrap();
            node.next_tick = (tick + TICK).max(node.busy_until);
            if node.busy_until <= tick {
                self.handle(&id, Input::Tick);
            }
        }
        self.now = end;
    }

    pub fn propose(&mut self, to: &VoterId, command: u64) {
        let input = Input::Propose {
            request: RequestId(command),
            command: command.to_le_bytes().to_vec(),
        };
        self.handle(to, input);
    }

    pub fn read(&mut self, to: &VoterId, request: u64) {
        self.reads.insert(RequestId(request), self.applied_log.len());
        self.handle(
            to,
            Input::Read {
                request: RequestId(request),
            },
        );
    }

    pub fn compact(&mut self, id: &VoterId) {
        let node = &self.nodes[id];
        let Some(machine) = &node.machine else { return };
        let index = machine.committed();
        let snapshot = node
            .commands
            .iter()
            .flat_map(|command| command.to_le_bytes())
            .collect();
        self.handle(id, Input::Compact { index, snapshot });
    }

    pub fn handle(&mut self, id: &VoterId, input: Input) {
        let is_crashing = self.crash_one_in > 0 && self.rng.random_ratio(1, self.crash_one_in);
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        let Some(machine) = &mut node.machine else { return };
        let local =
            Instant(self.now.0 * node.clock_rate_per_mille / 1000 + node.clock_rate_per_mille * 7_000);
        let mut outputs = Vec::new();
        machine.handle(local, input, &mut outputs);
        let started = self.now;
        if outputs.iter().any(|output| matches!(output, Output::Persist(_))) {
            self.now = started + self.write_time;
            node.busy_until = self.now;
        }
        let performed = if is_crashing {
            self.rng.random_range(0..=outputs.len())
        } else {
            outputs.len()
        };
        for output in outputs.into_iter().take(performed) {
            self.perform(id, output);
        }
        self.now = started;
        if is_crashing {
            self.crash(id);
        }
    }

    fn perform(&mut self, id: &VoterId, output: Output) {
        let seed = self.seed;
        match output {
            Output::Send { to, message } => self.send(id, &to, &message),
            Output::Persist(record) => self.nodes.get_mut(id).unwrap().disk.apply(record),
            Output::Apply { index, term, command } => {
                let known = self
                    .entries
                    .entry(index)
                    .or_insert_with(|| (term, command.clone()));
                assert_eq!(
                    *known,
                    (term, command.clone()),
                    "seed {seed}: entry {index} differs at {id}"
                );
                let node = self.nodes.get_mut(id).unwrap();
                node.commands
                    .push(u64::from_le_bytes(command.try_into().unwrap()));
                self.check_prefix(id);
            }
            Output::Restore { snapshot, .. } => {
                let node = self.nodes.get_mut(id).unwrap();
                let chunks = snapshot.chunks_exact(8);
                node.commands = chunks
                    .map(|bytes| u64::from_le_bytes(bytes.try_into().unwrap()))
                    .collect();
                self.check_prefix(id);
            }
            Output::Proposed { request, result } if request.0 < FIRST_CHANGE_REQUEST => {
                self.results.insert(request.0, result);
            }
            Output::ReadReady { request, .. } => {
                self.completed_reads += 1;
                let applied = self.nodes[id].commands.len();
                assert!(applied >= self.reads[&request], "seed {seed}: stale read at {id}");
            }
            Output::RoleChanged(view) if view.role == Role::Leader => {
                let leader = self.leaders.entry(view.term).or_insert_with(|| id.clone());
                assert_eq!(leader, id, "seed {seed}: two leaders in term {}", view.term);
            }
            _ => {}
        }
    }

    fn check_prefix(&mut self, id: &VoterId) {
        let commands = &self.nodes[id].commands;
        let shared = commands.len().min(self.applied_log.len());
        assert_eq!(
            commands[..shared],
            self.applied_log[..shared],
            "seed {}: {id} applied commands in another order",
            self.seed
        );
        self.applied_log.extend_from_slice(&commands[shared..]);
    }

    fn send(&mut self, from: &VoterId, to: &VoterId, message: &Message) {
        self.messages += 1;
        let is_unreachable = |id| self.nodes.get(id).is_none_or(|node| node.is_isolated);
        let link = (from.clone(), to.clone());
        if self.blocked_links.contains(&link)
            || is_unreachable(from)
            || is_unreachable(to)
            || self.rng.random_ratio(self.loss_percent, 100)
        {
            return;
        }
        assert!(
            self.queue.len() < MAX_IN_FLIGHT,
            "seed {}: message storm",
            self.seed
        );
        let copies = 1 + u32::from(self.rng.random_ratio(self.duplicate_percent, 100));
        for _ in 0..copies {
            let delay = Duration::from_micros(self.rng.random_range(100..=self.max_delay_micros));
            self.sequence += 1;
            let event = Event::Deliver(from.clone(), message.clone());
            self.queue.insert((self.now + delay, self.sequence), event);
        }
    }

    /// Asserts that every acknowledged command is applied at every member of the leader's configuration, that
    /// no refused command is applied, and that no command is applied twice.
    pub fn check_acknowledged(&self) {
        let all: BTreeSet<u64> = self.applied_log.iter().copied().collect();
        assert_eq!(
            all.len(),
            self.applied_log.len(),
            "seed {}: command applied twice",
            self.seed
        );
        let leader = self.leader().unwrap();
        for id in self.machine(&leader).configuration().members() {
            let at_member: BTreeSet<u64> = self.nodes[id].commands.iter().copied().collect();
            for (command, result) in &self.results {
                match result {
                    ProposalResult::Committed { .. } => {
                        assert!(
                            at_member.contains(command),
                            "seed {}: acknowledged command {command} is missing at {id}",
                            self.seed
                        );
                    }
                    ProposalResult::Refused(_) => {
                        assert!(
                            !all.contains(command),
                            "seed {}: refused command {command} was applied",
                            self.seed
                        );
                    }
                    ProposalResult::Unknown { .. } => {}
                }
            }
        }
    }
}
