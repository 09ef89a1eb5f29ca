//! Control instances and following instances in virtual time, with delays, cuts, crashes and counted bytes.
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

/// Time between two ticks of a control instance.
const NODE_TICK: Duration = Duration::from_millis(50);
/// Time between two ticks of a follower.
const FOLLOWER_TICK: Duration = Duration::from_millis(100);
/// Time for syncing records.
const SYNC: Duration = Duration::from_millis(8);
/// One way between two instances.
const LEAST_DELAY_US: u64 = 1000;
/// One way between two instances of different regions.
const MOST_DELAY_US: u64 = 30_000;
/// Time between two questions for the highest version on behalf of a stream.
const CONFIRM_RETRY: Duration = Duration::from_millis(100);
/// Bytes of HTTP/2, TLS, TCP and IP headers and acknowledgements around one message.
const FRAMING_BYTES: u64 = 120 + TLS_RECORD_BYTES;
/// Header, content type and tag of the record that carries a message over TLS.
const TLS_RECORD_BYTES: u64 = 22;

enum Event {
    NodeTick(InstanceId),
    FollowerTick(InstanceId),
    ToNode(InstanceId, InstanceId, NodeInput),
    Outputs(InstanceId, u64, Vec<NodeOutput>),
    Confirm { node: InstanceId, stream: StreamId },
    ToFollower(InstanceId, StreamId, FollowerInput),
}

struct Control {
    node: Option<Node>,
    durable: DurableState,
    life: u64,
}

struct Following {
    follower: Follower,
    stream: Option<(InstanceId, StreamId)>,
    /// Versions in the order in which they were applied, with the time.
    applied: Vec<(Instant, Version)>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered(Answer),
    NotLeader(Option<InstanceId>),
    Unknown,
}

pub struct System {
    pub now: Instant,
    pub rng: ChaCha8Rng,
    pub outcomes: BTreeMap<CallId, (Instant, Outcome)>,
    pub bytes: BTreeMap<InstanceId, u64>,
    pub update_bytes: Vec<u64>,
    controls: BTreeMap<InstanceId, Control>,
    following: BTreeMap<InstanceId, Following>,
    confirmations: BTreeMap<CallId, (InstanceId, StreamId)>,
    cut: BTreeSet<(InstanceId, InstanceId)>,
    queue: BTreeMap<(Instant, u64), Event>,
    next: u64,
}

pub fn id(text: &str) -> InstanceId {
    text.parse().unwrap()
}

pub fn control_id(number: usize) -> InstanceId {
    id(&format!("control-{number}"))
}

pub fn set(change: &str, base: u64, path: &str, value: &str) -> Command {
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

impl System {
    pub fn new(seed: u64, controls: usize) -> Self {
        let mut system = Self {
            now: Instant(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            outcomes: BTreeMap::new(),
            bytes: BTreeMap::new(),
            update_bytes: Vec::new(),
            controls: BTreeMap::new(),
            following: BTreeMap::new(),
            confirmations: BTreeMap::new(),
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            next: 0,
        };
        for number in 0..controls {
            let control = Control {
                node: None,
                durable: DurableState::default(),
                life: 0,
            };
            system.controls.insert(control_id(number), control);
        }
        for number in 0..controls {
            system.restart(&control_id(number));
        }
        system
    }

    /// Adds an instance that streams from `peers`.
    pub fn add_follower(&mut self, name: &str, peers: Vec<InstanceId>) {
        let follower = Follower::new(FollowerOptions::default(), peers, None);
        let following = Following {
            follower,
            stream: None,
            applied: Vec::new(),
        };
        self.following.insert(id(name), following);
        let delay = Duration::from_micros(self.rng.random_range(0..100_000));
        self.push(delay, Event::FollowerTick(id(name)));
    }

    /// Restarts a following instance that kept nothing.
    pub fn restart_follower(&mut self, name: &InstanceId, peers: Vec<InstanceId>) {
        let following = self.following.get_mut(name).unwrap();
        following.follower = Follower::new(FollowerOptions::default(), peers, None);
        following.stream = None;
    }

    pub fn crash(&mut self, name: &InstanceId) {
        let control = self.controls.get_mut(name).unwrap();
        control.node = None;
        control.life += 1;
        let lost: Vec<InstanceId> = self.following.keys().cloned().collect();
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
        control.life += 1;
        self.push(Duration::ZERO, Event::NodeTick(name.clone()));
    }

    /// Cuts or heals the way between each of `left` and each of `right`.
    pub fn cut(&mut self, left: &[InstanceId], right: &[InstanceId], is_cut: bool) {
        for one in left {
            for other in right {
                for pair in [(one.clone(), other.clone()), (other.clone(), one.clone())] {
                    if is_cut {
                        self.cut.insert(pair);
                    } else {
                        self.cut.remove(&pair);
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
        &self.following[name].applied
    }

    pub fn followers(&self) -> Vec<InstanceId> {
        self.following.keys().cloned().collect()
    }

    /// Tells `name` to give up the lead.
    pub fn hand_over(&mut self, name: &InstanceId) {
        self.input(name, NodeInput::HandOver);
    }

    /// Asks for a change at `name`.
    pub fn change(&mut self, name: &InstanceId, command: Command) -> CallId {
        let call = CallId(self.number());
        self.input(name, NodeInput::Change { call, command });
        call
    }

    /// Asks for a change at the leader until there is an answer, for at most `limit`.
    pub fn change_somewhere(&mut self, command: &Command, limit: Duration) -> Option<Answer> {
        let end = self.now + limit;
        while self.now < end {
            let Some(leader) = self.leader() else {
                self.run(NODE_TICK);
                continue;
            };
            let call = self.change(&leader, command.clone());
            let give_up = self.now + Duration::from_millis(500);
            while self.now < give_up && !self.outcomes.contains_key(&call) {
                self.run(Duration::from_millis(5));
            }
            if let Some((_, Outcome::Answered(answer))) = self.outcomes.get(&call) {
                return Some(answer.clone());
            }
        }
        None
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.take(event);
        }
        self.now = end;
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn push(&mut self, delay: Duration, event: Event) {
        let number = self.number();
        self.queue.insert((self.now + delay, number), event);
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(LEAST_DELAY_US..MOST_DELAY_US))
    }

    fn count(&mut self, from: &InstanceId, to: &InstanceId, bytes: u64) {
        *self.bytes.entry(from.clone()).or_default() += bytes + FRAMING_BYTES;
        *self.bytes.entry(to.clone()).or_default() += bytes + FRAMING_BYTES;
    }

    fn is_cut(&self, from: &InstanceId, to: &InstanceId) -> bool {
        self.cut.contains(&(from.clone(), to.clone()))
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::NodeTick(name) => {
                if self.controls[&name].node.is_some() {
                    self.input(&name, NodeInput::Tick);
                    self.push(NODE_TICK, Event::NodeTick(name));
                }
            }
            Event::FollowerTick(name) => {
                self.follow(&name, FollowerInput::Tick);
                self.push(FOLLOWER_TICK, Event::FollowerTick(name));
            }
            Event::ToNode(from, to, input) => {
                if !self.is_cut(&from, &to) {
                    self.input(&to, input);
                }
            }
            Event::Outputs(name, life, outputs) => {
                if self.controls[&name].life == life {
                    for output in outputs {
                        self.perform(&name, output);
                    }
                }
            }
            Event::Confirm { node, stream } => self.confirm(&node, stream),
            Event::ToFollower(name, stream, input) => {
                let open = self.following[&name].stream.clone();
                if let Some((peer, open)) = open
                    && open == stream
                    && !self.is_cut(&peer, &name)
                {
                    self.follow(&name, input);
                }
            }
        }
    }

    fn input(&mut self, name: &InstanceId, input: NodeInput) {
        let now = self.now;
        let control = self.controls.get_mut(name).unwrap();
        let life = control.life;
        let Some(node) = &mut control.node else { return };
        let mut outputs = Vec::new();
        node.handle(now, input, &mut outputs);
        let mut rest = Vec::new();
        let mut delay = Duration::ZERO;
        for output in outputs {
            match output {
                NodeOutput::Persist(record) => {
                    control.durable.apply(record);
                    delay = SYNC;
                }
                other => rest.push(other),
            }
        }
        if !rest.is_empty() {
            self.push(delay, Event::Outputs(name.clone(), life, rest));
        }
    }

    fn perform(&mut self, name: &InstanceId, output: NodeOutput) {
        match output {
            NodeOutput::Send { to, message } => self.send(name, &to, message),
            NodeOutput::Answered { call, answer } => self.end(call, Outcome::Answered(answer)),
            NodeOutput::NotLeader { call, leader } => self.end(call, Outcome::NotLeader(leader)),
            NodeOutput::Unknown { call, .. } => self.end(call, Outcome::Unknown),
            NodeOutput::Confirmed { call, version } => {
                if let Some((node, stream)) = self.confirmations.remove(&call) {
                    let input = NodeInput::StreamConfirmed { stream, version };
                    let delay = self.delay();
                    self.push(delay, Event::ToNode(name.clone(), node, input));
                }
            }
            NodeOutput::NotConfirmed { call, leader } => {
                if let Some((node, stream)) = self.confirmations.remove(&call) {
                    self.confirm_at(leader, node, stream);
                }
            }
            NodeOutput::ConfirmStream { stream } => self.confirm(name, stream),
            NodeOutput::Update {
                stream,
                update,
                is_confirmed,
            } => {
                let message = messages::Update::from_update(update.clone(), is_confirmed);
                let bytes = prost_len(&message);
                self.update_bytes.push(bytes);
                let peer = name.clone();
                let input = FollowerInput::Updated {
                    peer,
                    update,
                    is_confirmed,
                };
                self.send_on(name, stream, bytes, input);
            }
            NodeOutput::Heartbeat {
                stream,
                version,
                digest,
                is_in_touch,
            } => {
                let bytes = prost_len(&messages::Heartbeat::new(version, digest, is_in_touch));
                let peer = name.clone();
                let input = FollowerInput::Heartbeat {
                    peer,
                    version,
                    digest,
                    is_in_touch,
                };
                self.send_on(name, stream, bytes, input);
            }
            NodeOutput::Close { stream } => {
                let closed = FollowerInput::Closed { peer: name.clone() };
                self.send_on(name, stream, 0, closed);
            }
            NodeOutput::Failed { detail } => panic!("{name}: {detail}"),
            NodeOutput::VotersAnswered { .. }
            | NodeOutput::Persist(_)
            | NodeOutput::Applied { .. }
            | NodeOutput::RoleChanged(_) => {}
        }
    }

    fn end(&mut self, call: CallId, outcome: Outcome) {
        self.outcomes.insert(call, (self.now, outcome));
    }

    fn send(&mut self, from: &InstanceId, to: &VoterId, message: Message) {
        let voter = VoterId::new(from.clone(), Incarnation(1));
        let envelope = Envelope {
            from: voter.clone(),
            message: message.clone(),
        };
        self.count(from, &to.instance, envelope.encode().unwrap().len() as u64);
        let input = NodeInput::Message { from: voter, message };
        let delay = self.delay();
        self.push(delay, Event::ToNode(from.clone(), to.instance.clone(), input));
    }

    /// Asks the node itself for the highest version on behalf of a stream.
    fn confirm(&mut self, node: &InstanceId, stream: StreamId) {
        let call = CallId(self.number());
        self.confirmations.insert(call, (node.clone(), stream));
        self.input(node, NodeInput::Confirm { call });
    }

    /// Asks the leader on behalf of a stream of `node`; later again if it is not known.
    fn confirm_at(&mut self, leader: Option<InstanceId>, node: InstanceId, stream: StreamId) {
        match leader.filter(|leader| *leader != node) {
            Some(leader) => {
                let call = CallId(self.number());
                self.confirmations.insert(call, (node.clone(), stream));
                let delay = self.delay();
                self.push(delay, Event::ToNode(node, leader, NodeInput::Confirm { call }));
            }
            None => self.push(CONFIRM_RETRY, Event::Confirm { node, stream }),
        }
    }

    fn send_on(&mut self, from: &InstanceId, stream: StreamId, bytes: u64, input: FollowerInput) {
        let mut open = self.following.iter();
        let found = open.find(|(_, following)| following.stream == Some((from.clone(), stream)));
        let Some(name) = found.map(|(name, _)| name.clone()) else {
            return;
        };
        self.count(from, &name, bytes);
        let delay = self.delay();
        self.push(delay, Event::ToFollower(name, stream, input));
    }

    fn follow(&mut self, name: &InstanceId, input: FollowerInput) {
        let now = self.now;
        let following = self.following.get_mut(name).unwrap();
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
                    let stream = StreamId(self.number());
                    self.following.get_mut(name).unwrap().stream = Some((peer.clone(), stream));
                    let instance = name.clone();
                    let input = NodeInput::Follow {
                        stream,
                        instance,
                        since,
                        needs_confirmation,
                        is_last_resort,
                    };
                    self.open(name, peer, stream, input);
                }
                FollowerOutput::Close { peer } => self.close_stream(name, &peer),
                FollowerOutput::Apply { version } => {
                    self.following.get_mut(name).unwrap().applied.push((now, version));
                }
            }
        }
    }

    fn open(&mut self, name: &InstanceId, peer: InstanceId, stream: StreamId, input: NodeInput) {
        let delay = self.delay();
        if self.controls[&peer].node.is_none() {
            let closed = FollowerInput::Closed { peer };
            self.push(delay, Event::ToFollower(name.clone(), stream, closed));
            return;
        }
        self.count(name, &peer, 0);
        self.push(delay, Event::ToNode(name.clone(), peer, input));
    }

    /// Ends the stream that `name` has open from `peer` and tells both ends.
    fn close_stream(&mut self, name: &InstanceId, peer: &InstanceId) {
        let following = self.following.get_mut(name).unwrap();
        let Some((open, stream)) = following.stream.clone() else {
            return;
        };
        if open != *peer {
            return;
        }
        following.stream = None;
        let closed = FollowerInput::Closed { peer: peer.clone() };
        self.follow(name, closed);
        self.input(peer, NodeInput::Unfollow { stream });
    }
}

fn prost_len<Body: prost::Message>(message: &Body) -> u64 {
    message.encoded_len() as u64
}
