//! Simulation of control instances and followers in virtual time, with network delays, partitions, crashes
//! and byte counters.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_agreement::{Configuration, DurableState, Machine, Message, VoterId};
use kqr_control::{
    Envelope,
    daemon::agreement_options,
    node::{CallId, Node, NodeInput, NodeOptions, NodeOutput, StreamId},
};
use kqr_settings::{
    Action, Answer, Command, Edit, Follower, FollowerInput, FollowerOptions, FollowerOutput, Version,
};
use kqr_types::{Incarnation, InstanceId, Instant};
use kqr_wire::control::messages;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval between ticks of a control instance.
const NODE_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between ticks of a follower.
const FOLLOWER_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time to sync records to disk.
const SYNC_TIME: Duration = Duration::from_millis(8);
/// Minimum one-way delay between two instances.
const MIN_DELAY_US: u64 = 1000;
/// Maximum one-way delay, which occurs between instances of different regions.
const MAX_DELAY_US: u64 = 30_000;
/// Interval between requests for the highest version for a stream.
const CONFIRMATION_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes of HTTP/2, TLS, TCP and IP headers and acknowledgements around one message.
const FRAMING_BYTES: u64 = 120 + TLS_RECORD_BYTES;
/// Bytes of the header, content type and tag of the TLS record around one message.
const TLS_RECORD_BYTES: u64 = 22;

enum Event {
    NodeTick(InstanceId),
    FollowerTick(InstanceId),
    DeliverToNode(InstanceId, InstanceId, NodeInput),
    PerformOutputs(InstanceId, u64, Vec<NodeOutput>),
    RetryConfirmation { node: InstanceId, stream: StreamId },
    DeliverToFollower(InstanceId, StreamId, FollowerInput),
}

struct SimulatedControl {
    node: Option<Node>,
    durable: DurableState,
    /// Number of crashes and restarts. Outputs of an earlier generation are discarded.
    generation: u64,
}

struct SimulatedFollower {
    follower: Follower,
    stream: Option<(InstanceId, StreamId)>,
    /// Applied versions in order, with the time at which each was applied.
    applied: Vec<(Instant, Version)>,
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered(Answer),
    NotLeader(Option<InstanceId>),
    Unknown,
}

pub struct Simulation {
    pub now: Instant,
    pub rng: ChaCha8Rng,
    pub outcomes: BTreeMap<CallId, (Instant, Outcome)>,
    pub bytes_by_instance: BTreeMap<InstanceId, u64>,
    pub update_bytes: Vec<u64>,
    controls: BTreeMap<InstanceId, SimulatedControl>,
    followers: BTreeMap<InstanceId, SimulatedFollower>,
    confirmations: BTreeMap<CallId, (InstanceId, StreamId)>,
    cut_links: BTreeSet<(InstanceId, InstanceId)>,
    events: BTreeMap<(Instant, u64), Event>,
    last_number: u64,
}

pub fn id(text: &str) -> InstanceId {
    text.parse().unwrap()
}

pub fn control_id(number: usize) -> InstanceId {
    id(&format!("control-{number}"))
}

pub fn set_command(change: &str, base: u64, path: &str, value: &str) -> Command {
    Command {
        change: change.parse().unwrap(),
        base: Version(base),
        operator: "signe".parse().unwrap(),
        unix_ms: 0,
        is_exclusive: false,
        action: Action::Edit(vec![Edit {
            path: path.parse().unwrap(),
            value: Some(value.to_owned()),
        }]),
    }
}

impl Simulation {
    pub fn new(seed: u64, controls: usize) -> Self {
        let mut sim = Self {
            now: Instant(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            outcomes: BTreeMap::new(),
            bytes_by_instance: BTreeMap::new(),
            update_bytes: Vec::new(),
            controls: BTreeMap::new(),
            followers: BTreeMap::new(),
            confirmations: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            events: BTreeMap::new(),
            last_number: 0,
        };
        for number in 0..controls {
            let control = SimulatedControl {
                node: None,
                durable: DurableState::default(),
                generation: 0,
            };
            sim.controls.insert(control_id(number), control);
        }
        for number in 0..controls {
            sim.restart(&control_id(number));
        }
        sim
    }

    /// Adds an instance that streams from `peers`.
    pub fn add_follower(&mut self, name: &str, peers: Vec<InstanceId>) {
        let follower = Follower::new(FollowerOptions::default(), peers, None);
        let following = SimulatedFollower {
            follower,
            stream: None,
            applied: Vec::new(),
        };
        self.followers.insert(id(name), following);
        let delay = Duration::from_micros(self.rng.random_range(0..100_000));
        self.schedule(delay, Event::FollowerTick(id(name)));
    }

    /// Restarts a following instance that persisted nothing.
    pub fn restart_follower(&mut self, name: &InstanceId, peers: Vec<InstanceId>) {
        let following = self.followers.get_mut(name).unwrap();
        following.follower = Follower::new(FollowerOptions::default(), peers, None);
        following.stream = None;
    }

    pub fn crash(&mut self, name: &InstanceId) {
        let control = self.controls.get_mut(name).unwrap();
        control.node = None;
        control.generation += 1;
        let lost: Vec<InstanceId> = self.followers.keys().cloned().collect();
        for follower in lost {
            self.close_stream(&follower, name);
        }
    }

    pub fn restart(&mut self, name: &InstanceId) {
        let voter = |name: &InstanceId| VoterId::new(name.clone(), Incarnation(1));
        let founding = Configuration::of_voters(self.controls.keys().map(voter));
        let options = agreement_options(founding, self.rng.random_range(0..u64::MAX));
        let control = self.controls.get_mut(name).unwrap();
        let machine = Machine::new(voter(name), options, control.durable.clone());
        control.node = Some(Node::new(NodeOptions::default(), machine));
        control.generation += 1;
        self.schedule(Duration::ZERO, Event::NodeTick(name.clone()));
    }

    /// Cuts or restores the links between each of `left` and each of `right`.
    pub fn set_partition(&mut self, left: &[InstanceId], right: &[InstanceId], is_cut: bool) {
        for one in left {
            for other in right {
                for pair in [(one.clone(), other.clone()), (other.clone(), one.clone())] {
                    if is_cut {
                        self.cut_links.insert(pair);
                    } else {
                        self.cut_links.remove(&pair);
                    }
                }
            }
        }
    }

    pub fn node(&self, name: &InstanceId) -> &Node {
        self.controls[name].node.as_ref().unwrap()
    }

    pub fn leader(&self) -> Option<InstanceId> {
        let leads = |node: &Node| node.agreement().holds_lease(self.now);
        let mut controls = self.controls.iter();
        let found = controls.find(|(_, control)| control.node.as_ref().is_some_and(leads));
        found.map(|(name, _)| name.clone())
    }

    pub fn applied(&self, name: &InstanceId) -> &[(Instant, Version)] {
        &self.followers[name].applied
    }

    pub fn followers(&self) -> Vec<InstanceId> {
        self.followers.keys().cloned().collect()
    }

    /// Lets `name` transfer leadership.
    pub fn transfer_leadership(&mut self, name: &InstanceId) {
        self.handle_input(name, NodeInput::HandOver);
    }

    /// Submits a change to `name`.
    pub fn submit(&mut self, name: &InstanceId, command: Command) -> CallId {
        let call = CallId(self.next_number());
        self.handle_input(name, NodeInput::Change { call, command });
        call
    }

    /// Submits a change to the leader and retries until it is answered, for at most `limit`.
    pub fn submit_to_leader(&mut self, command: &Command, limit: Duration) -> Option<Answer> {
        let end = self.now + limit;
        while self.now < end {
            let Some(leader) = self.leader() else {
                self.run_for(NODE_TICK_INTERVAL);
                continue;
            };
            let call = self.submit(&leader, command.clone());
            let deadline = self.now + Duration::from_millis(500);
            while self.now < deadline && !self.outcomes.contains_key(&call) {
                self.run_for(Duration::from_millis(5));
            }
            if let Some((_, Outcome::Answered(answer))) = self.outcomes.get(&call) {
                return Some(answer.clone());
            }
        }
        None
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        let number = self.next_number();
        self.events.insert((self.now + delay, number), event);
    }

    fn random_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(MIN_DELAY_US..MAX_DELAY_US))
    }

    fn count_bytes(&mut self, from: &InstanceId, to: &InstanceId, bytes: u64) {
        *self.bytes_by_instance.entry(from.clone()).or_default() += bytes + FRAMING_BYTES;
        *self.bytes_by_instance.entry(to.clone()).or_default() += bytes + FRAMING_BYTES;
    }

    fn is_link_cut(&self, from: &InstanceId, to: &InstanceId) -> bool {
        self.cut_links.contains(&(from.clone(), to.clone()))
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::NodeTick(name) => {
                if self.controls[&name].node.is_some() {
                    self.handle_input(&name, NodeInput::Tick);
                    self.schedule(NODE_TICK_INTERVAL, Event::NodeTick(name));
                }
            }
            Event::FollowerTick(name) => {
                self.handle_follower_input(&name, FollowerInput::Tick);
                self.schedule(FOLLOWER_TICK_INTERVAL, Event::FollowerTick(name));
            }
            Event::DeliverToNode(from, to, input) => {
                if !self.is_link_cut(&from, &to) {
                    self.handle_input(&to, input);
                }
            }
            Event::PerformOutputs(name, generation, outputs) => {
                if self.controls[&name].generation == generation {
                    for output in outputs {
                        self.perform_output(&name, output);
                    }
                }
            }
            Event::RetryConfirmation { node, stream } => self.request_confirmation(&node, stream),
            Event::DeliverToFollower(name, stream, input) => {
                let open = self.followers[&name].stream.clone();
                if let Some((peer, open)) = open
                    && open == stream
                    && !self.is_link_cut(&peer, &name)
                {
                    self.handle_follower_input(&name, input);
                }
            }
        }
    }

    fn handle_input(&mut self, name: &InstanceId, input: NodeInput) {
        let now = self.now;
        let control = self.controls.get_mut(name).unwrap();
        let generation = control.generation;
        let Some(node) = &mut control.node else { return };
        let mut outputs = Vec::new();
        node.handle(now, input, &mut outputs);
        let mut remaining = Vec::new();
        let mut delay = Duration::ZERO;
        for output in outputs {
            match output {
                NodeOutput::Persist(record) => {
                    control.durable.apply(record);
                    delay = SYNC_TIME;
                }
                other => remaining.push(other),
            }
        }
        if !remaining.is_empty() {
            self.schedule(delay, Event::PerformOutputs(name.clone(), generation, remaining));
        }
    }

    fn perform_output(&mut self, name: &InstanceId, output: NodeOutput) {
        match output {
            NodeOutput::Send { to, message } => self.send(name, &to, message),
            NodeOutput::Answered { call, answer } => self.record_outcome(call, Outcome::Answered(answer)),
            NodeOutput::NotLeader { call, leader } => self.record_outcome(call, Outcome::NotLeader(leader)),
            NodeOutput::Unknown { call, .. } => self.record_outcome(call, Outcome::Unknown),
            NodeOutput::Confirmed { call, version } => {
                if let Some((node, stream)) = self.confirmations.remove(&call) {
                    let input = NodeInput::StreamConfirmed { stream, version };
                    let delay = self.random_delay();
                    self.schedule(delay, Event::DeliverToNode(name.clone(), node, input));
                }
            }
            NodeOutput::NotConfirmed { call, leader } => {
                if let Some((node, stream)) = self.confirmations.remove(&call) {
                    self.request_confirmation_from(leader, node, stream);
                }
            }
            NodeOutput::ConfirmStream { stream } => self.request_confirmation(name, stream),
            NodeOutput::Update {
                stream,
                update,
                is_confirmed,
            } => {
                let message = messages::Update::from_update(update.clone(), is_confirmed);
                let bytes = encoded_bytes(&message);
                self.update_bytes.push(bytes);
                let peer = name.clone();
                let input = FollowerInput::Updated {
                    peer,
                    update,
                    is_confirmed,
                };
                self.send_on_stream(name, stream, bytes, input);
            }
            NodeOutput::Heartbeat {
                stream,
                version,
                digest,
                is_in_touch,
            } => {
                let bytes = encoded_bytes(&messages::Heartbeat::new(version, digest, is_in_touch));
                let peer = name.clone();
                let input = FollowerInput::Heartbeat {
                    peer,
                    version,
                    digest,
                    is_in_touch,
                };
                self.send_on_stream(name, stream, bytes, input);
            }
            NodeOutput::Close { stream } => {
                let closed = FollowerInput::Closed { peer: name.clone() };
                self.send_on_stream(name, stream, 0, closed);
            }
            NodeOutput::Failed { detail } => panic!("{name}: {detail}"),
            NodeOutput::VotersAnswered { .. }
            | NodeOutput::Persist(_)
            | NodeOutput::Applied { .. }
            | NodeOutput::RoleChanged(_) => {}
        }
    }

    fn record_outcome(&mut self, call: CallId, outcome: Outcome) {
        self.outcomes.insert(call, (self.now, outcome));
    }

    fn send(&mut self, from: &InstanceId, to: &VoterId, message: Message) {
        let voter = VoterId::new(from.clone(), Incarnation(1));
        let envelope = Envelope {
            from: voter.clone(),
            message: message.clone(),
        };
        self.count_bytes(from, &to.instance, envelope.encode().unwrap().len() as u64);
        let input = NodeInput::Message { from: voter, message };
        let delay = self.random_delay();
        self.schedule(
            delay,
            Event::DeliverToNode(from.clone(), to.instance.clone(), input),
        );
    }

    /// Requests the highest version from `node` itself for one of its streams.
    fn request_confirmation(&mut self, node: &InstanceId, stream: StreamId) {
        let call = CallId(self.next_number());
        self.confirmations.insert(call, (node.clone(), stream));
        self.handle_input(node, NodeInput::Confirm { call });
    }

    /// Requests the highest version from the leader for a stream of `node`. Retries later if no other leader
    /// is known.
    fn request_confirmation_from(&mut self, leader: Option<InstanceId>, node: InstanceId, stream: StreamId) {
        match leader.filter(|leader| *leader != node) {
            Some(leader) => {
                let call = CallId(self.next_number());
                self.confirmations.insert(call, (node.clone(), stream));
                let delay = self.random_delay();
                self.schedule(
                    delay,
                    Event::DeliverToNode(node, leader, NodeInput::Confirm { call }),
                );
            }
            None => self.schedule(
                CONFIRMATION_RETRY_INTERVAL,
                Event::RetryConfirmation { node, stream },
            ),
        }
    }

    fn send_on_stream(&mut self, from: &InstanceId, stream: StreamId, bytes: u64, input: FollowerInput) {
        let mut followers = self.followers.iter();
        let found = followers.find(|(_, following)| following.stream == Some((from.clone(), stream)));
        let Some(name) = found.map(|(name, _)| name.clone()) else {
            return;
        };
        self.count_bytes(from, &name, bytes);
        let delay = self.random_delay();
        self.schedule(delay, Event::DeliverToFollower(name, stream, input));
    }

    fn handle_follower_input(&mut self, name: &InstanceId, input: FollowerInput) {
        let now = self.now;
        let following = self.followers.get_mut(name).unwrap();
        let mut outputs = Vec::new();
        following.follower.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                FollowerOutput::Open {
                    peer,
                    since,
                    needs_confirmation,
                    is_last_resort,
                } => {
                    let stream = StreamId(self.next_number());
                    self.followers.get_mut(name).unwrap().stream = Some((peer.clone(), stream));
                    let instance = name.clone();
                    let input = NodeInput::Follow {
                        stream,
                        instance,
                        since,
                        needs_confirmation,
                        is_last_resort,
                    };
                    self.open_stream(name, peer, stream, input);
                }
                FollowerOutput::Close { peer } => self.close_stream(name, &peer),
                FollowerOutput::Apply { version } => {
                    self.followers.get_mut(name).unwrap().applied.push((now, version));
                }
            }
        }
    }

    fn open_stream(&mut self, name: &InstanceId, peer: InstanceId, stream: StreamId, input: NodeInput) {
        let delay = self.random_delay();
        if self.controls[&peer].node.is_none() {
            let closed = FollowerInput::Closed { peer };
            self.schedule(delay, Event::DeliverToFollower(name.clone(), stream, closed));
            return;
        }
        self.count_bytes(name, &peer, 0);
        self.schedule(delay, Event::DeliverToNode(name.clone(), peer, input));
    }

    /// Closes the stream that `name` has open from `peer`, and notifies both ends.
    fn close_stream(&mut self, name: &InstanceId, peer: &InstanceId) {
        let following = self.followers.get_mut(name).unwrap();
        let Some((open, stream)) = following.stream.clone() else {
            return;
        };
        if open != *peer {
            return;
        }
        following.stream = None;
        let closed = FollowerInput::Closed { peer: peer.clone() };
        self.handle_follower_input(name, closed);
        self.handle_input(peer, NodeInput::Unfollow { stream });
    }
}

fn encoded_bytes<Body: prost::Message>(message: &Body) -> u64 {
    message.encoded_len() as u64
}
