//! A cell of a few machines with fake targets, a lossy network and virtual time in microseconds.

mod node;
mod target;

use std::{collections::BTreeMap, time::Duration};

use kqr_jobs::{
    CallerId, Input, JobAnswer, JobMessage, JobState, NotAccepted, Options, Outcome, Output, RefusalReason,
    Submission, Submit, TaskEnd, TaskResult, TaskSpec,
};
use kqr_types::{Attempt, ByteSize, CellMember, CellView, Incarnation, JobKey, MemberState, TaskIndex};
use node::Exchange;
pub use node::Node;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use target::Target;

/// Length of a lease on the true clock, and the part of it that a member with a slow clock may use.
const LEASE: u64 = 200_000;
const LEASE_USED: u64 = LEASE * 98 / 100;
/// Time between two rounds of the cell's agreement, ticks and questions to targets.
const ROUND: u64 = 25_000;

/// A point in the life of a job at which its home can be made to crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    Claimed,
    IntentSent,
    IntentAcknowledged,
    Started,
    Ended,
    Answered,
}

enum Event {
    Round,
    Epoch(usize, CellView),
    Peer {
        to: usize,
        from: usize,
        incarnation: Incarnation,
        message: JobMessage,
    },
    Call {
        to: usize,
        input: Input,
    },
    Start {
        from: usize,
        life: Incarnation,
        exchange: Exchange,
    },
    Finish {
        from: usize,
        life: Incarnation,
        exchange: Exchange,
    },
    End {
        to: usize,
        life: Incarnation,
        end: TaskEnd,
    },
}

pub struct Cell {
    pub seed: u64,
    pub rng: ChaCha8Rng,
    pub now: u64,
    pub nodes: Vec<Node>,
    pub targets: Vec<Target>,
    pub loss: f64,
    pub duplicates: f64,
    pub most_delay: u64,
    pub trap: Option<Moment>,
    pub replies: BTreeMap<CallerId, Result<JobAnswer, NotAccepted>>,
    pub starts: BTreeMap<(JobKey, TaskIndex), u32>,
    pub view: CellView,
    views: Vec<CellView>,
    asked: BTreeMap<CallerId, JobKey>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
}

pub fn options() -> Options {
    Options {
        retention: Duration::from_secs(5),
        tombstone_retention: Duration::from_secs(5),
        cold_start_window: Duration::from_secs(1),
        ..Options::default()
    }
}

pub fn submission(key: &JobKey, attempt: Option<u32>, tasks: u16) -> Submission {
    let spec = TaskSpec {
        class: "proof".parse().unwrap(),
        payload: "x".repeat(20),
        run_time: None,
        cores: 1,
        memory: ByteSize(0),
        accelerators: 0,
    };
    Submission {
        key: key.clone(),
        attempt: attempt.map(Attempt),
        team: "press".parse().unwrap(),
        service: "pressverk".parse().unwrap(),
        deadline: Duration::from_secs(10),
        fingerprint: u64::from(tasks),
        tasks: vec![spec; usize::from(tasks)],
    }
}

impl Cell {
    /// Creates a cell whose first epoch has formed and whose records are trusted.
    pub fn new(seed: u64, nodes: usize, targets: usize) -> Self {
        let mut cell = Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            nodes: (0..nodes).map(Node::new).collect(),
            targets: (0..targets).map(|_| Target::new()).collect(),
            loss: 0.0,
            duplicates: 0.0,
            most_delay: 2_000,
            trap: None,
            replies: BTreeMap::new(),
            starts: BTreeMap::new(),
            view: CellView::default(),
            views: Vec::new(),
            asked: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
        };
        for (index, node) in cell.nodes.iter_mut().enumerate() {
            node.drift = if index % 2 == 0 { 10_000 } else { -10_000 };
            node.start(options());
        }
        cell.schedule(0, Event::Round);
        cell.run(10_500_000);
        cell
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    /// Sends something that may be lost, delayed, overtaken or duplicated.
    fn send<Make>(&mut self, make: Make)
    where
        Make: Fn() -> Event,
    {
        let copies = 1 + u32::from(self.rng.random_bool(self.duplicates));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let at = self.now + self.rng.random_range(100..=self.most_delay);
            self.schedule(at, make());
        }
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, micros: u64) {
        let end = self.now + micros;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let event = entry.remove();
            self.happen(event);
        }
        self.now = end;
    }

    /// Submits a job through `entry`; the call is lost if the entry or the home can't be reached.
    pub fn submit(&mut self, entry: usize, key: &JobKey, attempt: Option<u32>, tasks: u16) -> CallerId {
        let submission = submission(key, attempt, tasks);
        self.call(entry, key, |caller| {
            let caller = Some(caller);
            Input::Submit(Submit { caller, submission })
        })
    }

    pub fn cancel(&mut self, entry: usize, key: &JobKey) -> CallerId {
        let key = key.clone();
        self.call(entry, &key.clone(), |caller| Input::Cancel { key, caller })
    }

    pub fn renounce(&mut self, entry: usize, key: &JobKey) -> CallerId {
        let key = key.clone();
        self.call(entry, &key.clone(), |caller| Input::Renounce { key, caller })
    }

    fn call<Make>(&mut self, entry: usize, key: &JobKey, make: Make) -> CallerId
    where
        Make: FnOnce(CallerId) -> Input,
    {
        let caller = CallerId(self.asked.len() as u64);
        self.asked.insert(caller, key.clone());
        let home = self.nodes[entry].home(key);
        let Some(to) = self.nodes.iter().position(|node| Some(&node.id) == home.as_ref()) else {
            return caller;
        };
        let is_reached = to == entry || !(self.nodes[entry].is_cut_off || self.nodes[to].is_cut_off);
        if is_reached {
            let at = self.now + self.rng.random_range(100..=self.most_delay);
            self.schedule(
                at,
                Event::Call {
                    to,
                    input: make(caller),
                },
            );
        }
        caller
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].machine = None;
    }

    pub fn restart(&mut self, index: usize) {
        self.nodes[index].start(options());
    }

    fn moment(&mut self, moment: Moment, index: usize) {
        if self.trap == Some(moment) {
            self.trap = None;
            self.crash(index);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Round => self.round(),
            Event::Epoch(index, view) => {
                if !self.nodes[index].is_cut_off {
                    self.handle(index, Input::Epoch(view));
                }
            }
            Event::Peer {
                to,
                from,
                incarnation,
                message,
            } => {
                if !self.nodes[to].is_cut_off && !self.nodes[from].is_cut_off {
                    let from = self.nodes[from].id.clone();
                    self.handle(
                        to,
                        Input::Peer {
                            from,
                            incarnation,
                            message,
                        },
                    );
                }
            }
            Event::Call { to, input } => {
                self.handle(to, input);
                self.moment(Moment::Claimed, to);
            }
            Event::Start { from, life, exchange } => self.start(from, life, exchange),
            Event::Finish { from, life, exchange } => self.finish(from, life, &exchange),
            Event::End { to, life, end } => {
                let is_open = self.nodes[to].exchanges.contains_key(&end.attempt);
                if self.nodes[to].incarnation == life && is_open && !self.nodes[to].is_cut_off {
                    self.nodes[to].exchanges.remove(&end.attempt);
                    self.handle(to, Input::Ended(end));
                    self.moment(Moment::Ended, to);
                }
            }
        }
    }

    /// Handles an input, places what is queued at random targets, and flushes.
    fn handle(&mut self, index: usize, input: Input) {
        let mut inputs = vec![input];
        let mut outputs = Vec::new();
        while !inputs.is_empty() {
            for output in self.nodes[index].handle(self.now, std::mem::take(&mut inputs)) {
                let Output::Enqueue(tasks) = output else {
                    outputs.push(output);
                    continue;
                };
                for task in tasks {
                    let target = self.rng.random_range(0..self.targets.len());
                    inputs.push(Input::Placed {
                        key: task.key,
                        task: task.task,
                        target: format!("{target}").parse().unwrap(),
                        incarnation: self.targets[target].incarnation,
                    });
                }
            }
        }
        outputs.extend(self.nodes[index].handle(self.now, vec![Input::Flush]));
        for output in outputs {
            self.perform(index, output);
        }
    }

    fn perform(&mut self, index: usize, output: Output) {
        let life = self.nodes[index].incarnation;
        match output {
            Output::Start(start) => {
                let exchange = Exchange {
                    key: start.key,
                    attempt: start.attempt,
                    target: start.target.as_str().parse().unwrap(),
                    incarnation: start.incarnation,
                    ask_from: self.now + 2 * self.most_delay,
                };
                self.nodes[index]
                    .exchanges
                    .insert(start.attempt, exchange.clone());
                self.moment(Moment::IntentAcknowledged, index);
                self.send(|| Event::Start {
                    from: index,
                    life,
                    exchange: exchange.clone(),
                });
            }
            Output::Query {
                key,
                attempt,
                target,
                incarnation,
            } => {
                let target = target.as_str().parse().unwrap();
                let exchange = Exchange {
                    key,
                    attempt,
                    target,
                    incarnation,
                    ask_from: self.now,
                };
                self.nodes[index].exchanges.insert(attempt, exchange);
            }
            Output::Send { to, message } => {
                let to = self.nodes.iter().position(|node| node.id == to).unwrap();
                let is_update = matches!(message, JobMessage::Updates { .. });
                self.send(|| Event::Peer {
                    to,
                    from: index,
                    incarnation: life,
                    message: message.clone(),
                });
                if is_update {
                    self.moment(Moment::IntentSent, index);
                }
            }
            Output::Synced { epoch } if epoch == self.view.epoch => {
                let id = self.nodes[index].id.clone();
                self.change_view(|members| {
                    for member in members {
                        if member.id == id {
                            member.state = MemberState::Full;
                        }
                    }
                });
            }
            Output::Reply { caller, answer } => {
                self.replies.insert(caller, answer);
                self.moment(Moment::Answered, index);
            }
            Output::Enqueue(_)
            | Output::Withdraw { .. }
            | Output::ReleaseSlot { .. }
            | Output::Stop { .. }
            | Output::Synced { .. } => {}
        }
    }

    fn start(&mut self, from: usize, life: Incarnation, exchange: Exchange) {
        let target = &mut self.targets[exchange.target];
        if !target.is_alive || target.incarnation != exchange.incarnation {
            return;
        }
        let run_time = target.run_time;
        if target.start(exchange.attempt) {
            *self
                .starts
                .entry((exchange.key.clone(), exchange.attempt.task))
                .or_default() += 1;
            self.moment(Moment::Started, from);
        }
        self.schedule(self.now + run_time, Event::Finish { from, life, exchange });
    }

    fn finish(&mut self, from: usize, life: Incarnation, exchange: &Exchange) {
        let target = &mut self.targets[exchange.target];
        if !target.is_alive || target.incarnation != exchange.incarnation {
            return;
        }
        let text = format!("{}#{}", exchange.key, exchange.attempt.task);
        target.finish(exchange.attempt, TaskResult::Completed(text));
        self.tell(from, life, exchange);
    }

    /// Tells a node how an attempt ended, if it did.
    fn tell(&mut self, to: usize, life: Incarnation, exchange: &Exchange) {
        let Some(result) = self.targets[exchange.target].ask(exchange.attempt) else {
            return;
        };
        self.send(|| Event::End {
            to,
            life,
            end: TaskEnd {
                key: exchange.key.clone(),
                attempt: exchange.attempt,
                result: result.clone(),
                run_time: None,
            },
        });
    }

    /// Asks for the ends of exchanges; what ran in an earlier life of a target is unknown.
    fn ask(&mut self, index: usize) {
        let life = self.nodes[index].incarnation;
        let exchanges: Vec<Exchange> = self.nodes[index].exchanges.values().cloned().collect();
        for exchange in exchanges {
            let target = &self.targets[exchange.target];
            if target.is_alive && target.incarnation == exchange.incarnation {
                if exchange.ask_from <= self.now && !self.rng.random_bool(self.loss) {
                    self.tell(index, life, &exchange);
                }
                continue;
            }
            self.nodes[index].exchanges.remove(&exchange.attempt);
            let result = TaskResult::Unknown("target lost".to_owned());
            let Exchange { key, attempt, .. } = exchange;
            let end = TaskEnd {
                key,
                attempt,
                result,
                run_time: None,
            };
            self.handle(index, Input::Ended(end));
        }
    }

    fn grant(&mut self, index: usize) {
        self.nodes[index].lease_end = self.now + LEASE;
        let until = self.nodes[index].clock(self.now) + Duration::from_micros(LEASE_USED);
        self.handle(index, Input::Lease { until });
    }

    /// Renews leases, agrees on a new view if members came or went, and lets machines see the time.
    fn round(&mut self) {
        self.schedule(self.now + ROUND, Event::Round);
        self.agree();
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.machine.is_none() {
                continue;
            }
            if !node.is_cut_off {
                let member = self.view.member(&node.id);
                let is_member = member.is_some_and(|member| member.incarnation == node.incarnation);
                if node.epoch() < self.view.epoch {
                    let next = if node.epoch().0 == 0 {
                        self.view.epoch
                    } else {
                        node.epoch().next()
                    };
                    let view = self.views[next.0 as usize - 1].clone();
                    let at = self.now + self.rng.random_range(100..=self.most_delay);
                    self.schedule(at, Event::Epoch(index, view));
                }
                if is_member {
                    self.grant(index);
                }
                self.ask(index);
            }
            self.handle(index, Input::Tick);
        }
    }

    fn agree(&mut self) {
        let mut members = Vec::new();
        for node in &self.nodes {
            let is_reachable = node.machine.is_some() && !node.is_cut_off;
            let present = self.view.member(&node.id);
            let is_same_life = present.is_some_and(|member| member.incarnation == node.incarnation);
            let is_leased = self.now < node.lease_end && node.lease_end > 0;
            match present {
                Some(member) if (is_reachable && is_same_life) || is_leased => members.push(member.clone()),
                _ if is_reachable => members.push(CellMember {
                    id: node.id.clone(),
                    incarnation: node.incarnation,
                    weight: 1,
                    state: MemberState::Syncing,
                }),
                _ => {}
            }
        }
        // A member that was cut off past its lease must copy anew, like a restarted one.
        let is_anew = !members.iter().any(|member| member.state == MemberState::Full);
        for member in &mut members {
            if is_anew {
                member.state = MemberState::Full;
            }
        }
        if members != self.view.members && !members.is_empty() {
            self.change_view(|present| *present = members);
        }
    }

    fn change_view<Change>(&mut self, change: Change)
    where
        Change: FnOnce(&mut Vec<CellMember>),
    {
        self.view.epoch = self.view.epoch.next();
        change(&mut self.view.members);
        self.views.push(self.view.clone());
    }

    /// Checks every answer against the starts at the targets.
    pub fn check(&self) {
        let seed = self.seed;
        for ((key, task), starts) in &self.starts {
            assert_eq!(
                *starts, 1,
                "seed {seed}: {key} task {task} started {starts} times"
            );
        }
        for (caller, reply) in &self.replies {
            let key = &self.asked[caller];
            match reply {
                Ok(answer) => self.check_answer(key, answer),
                Err(refused) => {
                    let is_false = refused.outcome == Outcome::NotRun && self.has_started(key);
                    let is_excused = refused.reason == RefusalReason::KeyReused;
                    assert!(!is_false || is_excused, "seed {seed}: {key}: false {refused}");
                }
            }
        }
    }

    fn check_answer(&self, key: &JobKey, answer: &JobAnswer) {
        let seed = self.seed;
        assert_eq!(&answer.key, key, "seed {seed}: the answer of another job");
        assert!(
            answer.state != JobState::Running,
            "seed {seed}: {key} has a partial answer"
        );
        for part in &answer.tasks {
            let starts = self.starts.get(&(key.clone(), part.task)).copied().unwrap_or(0);
            let expected = match part.outcome {
                Outcome::NotRun => Some(0),
                Outcome::Ran => Some(1),
                Outcome::MayHaveRun => None,
            };
            let is_true = expected.is_none_or(|expected| expected == starts);
            assert!(
                is_true,
                "seed {seed}: {key} task {}: {} but {starts} starts",
                part.task, part.outcome
            );
            let whole = (answer.state == JobState::Complete).then(|| format!("{key}#{}", part.task));
            assert_eq!(part.result, whole, "seed {seed}: {key} has a partial answer");
        }
    }

    fn has_started(&self, key: &JobKey) -> bool {
        self.starts.keys().any(|(started, _)| started == key)
    }
}
