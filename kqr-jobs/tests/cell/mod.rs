//! Simulated cell of a few job machines with fake targets, a lossy network and virtual time in microseconds.

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

/// Duration of a lease on the true clock.
const LEASE_US: u64 = 200_000;
/// Duration of a lease that a member may use on its own clock, which may run slow.
const USABLE_LEASE_US: u64 = LEASE_US * 98 / 100;
/// Interval between rounds, which update the view, tick the machines and query targets.
const ROUND_INTERVAL_US: u64 = 25_000;

/// A point in the processing of a job at which its home can be made to crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
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
        node_incarnation: Incarnation,
        exchange: Exchange,
    },
    Finish {
        from: usize,
        node_incarnation: Incarnation,
        exchange: Exchange,
    },
    End {
        to: usize,
        node_incarnation: Incarnation,
        end: TaskEnd,
    },
}

pub struct Cell {
    pub seed: u64,
    pub rng: ChaCha8Rng,
    pub now: u64,
    pub nodes: Vec<Node>,
    pub targets: Vec<Target>,
    pub loss_probability: f64,
    pub duplicate_probability: f64,
    pub max_delay_us: u64,
    pub crash_point: Option<CrashPoint>,
    pub replies: BTreeMap<CallerId, Result<JobAnswer, NotAccepted>>,
    pub starts: BTreeMap<(JobKey, TaskIndex), u32>,
    pub view: CellView,
    views: Vec<CellView>,
    called_keys: BTreeMap<CallerId, JobKey>,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
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
    /// Creates a cell that has formed its first epoch and whose history is longer than the retention of keys.
    pub fn new(seed: u64, nodes: usize, targets: usize) -> Self {
        let mut cell = Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            nodes: (0..nodes).map(Node::new).collect(),
            targets: (0..targets).map(|_| Target::new()).collect(),
            loss_probability: 0.0,
            duplicate_probability: 0.0,
            max_delay_us: 2_000,
            crash_point: None,
            replies: BTreeMap::new(),
            starts: BTreeMap::new(),
            view: CellView::default(),
            views: Vec::new(),
            called_keys: BTreeMap::new(),
            events: BTreeMap::new(),
            event_count: 0,
        };
        for (index, node) in cell.nodes.iter_mut().enumerate() {
            node.drift_ppm = if index % 2 == 0 { 10_000 } else { -10_000 };
            node.start(options());
        }
        cell.schedule(0, Event::Round);
        cell.run(10_500_000);
        cell
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    /// Schedules an event that may be lost, delayed, reordered or duplicated.
    fn send<Make>(&mut self, make: Make)
    where
        Make: Fn() -> Event,
    {
        let copies = 1 + u32::from(self.rng.random_bool(self.duplicate_probability));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss_probability) {
                continue;
            }
            let at = self.now + self.rng.random_range(100..=self.max_delay_us);
            self.schedule(at, make());
        }
    }

    /// Advances virtual time by `micros` and handles the events that are due.
    pub fn run(&mut self, micros: u64) {
        let end = self.now + micros;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Submits a job through `entry`; the call is lost if the home is unreachable from the entry.
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
        let caller = CallerId(self.called_keys.len() as u64);
        self.called_keys.insert(caller, key.clone());
        let home = self.nodes[entry].home(key);
        let Some(to) = self.nodes.iter().position(|node| Some(&node.id) == home.as_ref()) else {
            return caller;
        };
        let is_reached = to == entry || !(self.nodes[entry].is_isolated || self.nodes[to].is_isolated);
        if is_reached {
            let at = self.now + self.rng.random_range(100..=self.max_delay_us);
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

    fn crash_if_at(&mut self, point: CrashPoint, index: usize) {
        if self.crash_point == Some(point) {
            self.crash_point = None;
            self.crash(index);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Round => self.run_round(),
            Event::Epoch(index, view) => {
                if !self.nodes[index].is_isolated {
                    self.handle(index, Input::Epoch(view));
                }
            }
            Event::Peer {
                to,
                from,
                incarnation,
                message,
            } => {
                if !self.nodes[to].is_isolated && !self.nodes[from].is_isolated {
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
                self.crash_if_at(CrashPoint::Claimed, to);
            }
            Event::Start {
                from,
                node_incarnation,
                exchange,
            } => self.start(from, node_incarnation, exchange),
            Event::Finish {
                from,
                node_incarnation,
                exchange,
            } => self.finish(from, node_incarnation, &exchange),
            Event::End {
                to,
                node_incarnation,
                end,
            } => {
                let is_open = self.nodes[to].exchanges.contains_key(&end.attempt);
                if self.nodes[to].incarnation == node_incarnation && is_open && !self.nodes[to].is_isolated {
                    self.nodes[to].exchanges.remove(&end.attempt);
                    self.handle(to, Input::Ended(end));
                    self.crash_if_at(CrashPoint::Ended, to);
                }
            }
        }
    }

    /// Handles an input, places the enqueued tasks at random targets, and flushes.
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
        let node_incarnation = self.nodes[index].incarnation;
        match output {
            Output::Start(start) => {
                let exchange = Exchange {
                    key: start.key,
                    attempt: start.attempt,
                    target: start.target.as_str().parse().unwrap(),
                    incarnation: start.incarnation,
                    query_from: self.now + 2 * self.max_delay_us,
                };
                self.nodes[index]
                    .exchanges
                    .insert(start.attempt, exchange.clone());
                self.crash_if_at(CrashPoint::IntentAcknowledged, index);
                self.send(|| Event::Start {
                    from: index,
                    node_incarnation,
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
                    query_from: self.now,
                };
                self.nodes[index].exchanges.insert(attempt, exchange);
            }
            Output::Send { to, message } => {
                let to = self.nodes.iter().position(|node| node.id == to).unwrap();
                let is_update = matches!(message, JobMessage::Updates { .. });
                self.send(|| Event::Peer {
                    to,
                    from: index,
                    incarnation: node_incarnation,
                    message: message.clone(),
                });
                if is_update {
                    self.crash_if_at(CrashPoint::IntentSent, index);
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
                self.crash_if_at(CrashPoint::Answered, index);
            }
            Output::Enqueue(_)
            | Output::Withdraw { .. }
            | Output::ReleaseSlot { .. }
            | Output::Stop { .. }
            | Output::Synced { .. } => {}
        }
    }

    fn start(&mut self, from: usize, node_incarnation: Incarnation, exchange: Exchange) {
        let target = &mut self.targets[exchange.target];
        if !target.is_alive || target.incarnation != exchange.incarnation {
            return;
        }
        let run_time = target.run_time_us;
        if target.start(exchange.attempt) {
            *self
                .starts
                .entry((exchange.key.clone(), exchange.attempt.task))
                .or_default() += 1;
            self.crash_if_at(CrashPoint::Started, from);
        }
        self.schedule(
            self.now + run_time,
            Event::Finish {
                from,
                node_incarnation,
                exchange,
            },
        );
    }

    fn finish(&mut self, from: usize, node_incarnation: Incarnation, exchange: &Exchange) {
        let target = &mut self.targets[exchange.target];
        if !target.is_alive || target.incarnation != exchange.incarnation {
            return;
        }
        let text = format!("{}#{}", exchange.key, exchange.attempt.task);
        target.finish(exchange.attempt, TaskResult::Completed(text));
        self.send_end(from, node_incarnation, exchange);
    }

    /// Sends the result of an attempt to a node, if the attempt has ended.
    fn send_end(&mut self, to: usize, node_incarnation: Incarnation, exchange: &Exchange) {
        let Some(result) = self.targets[exchange.target].query(exchange.attempt) else {
            return;
        };
        self.send(|| Event::End {
            to,
            node_incarnation,
            end: TaskEnd {
                key: exchange.key.clone(),
                attempt: exchange.attempt,
                result: result.clone(),
                run_time: None,
            },
        });
    }

    /// Queries the results of outstanding attempts. Those of a lost incarnation of a target end as unknown.
    fn query_targets(&mut self, index: usize) {
        let node_incarnation = self.nodes[index].incarnation;
        let exchanges: Vec<Exchange> = self.nodes[index].exchanges.values().cloned().collect();
        for exchange in exchanges {
            let target = &self.targets[exchange.target];
            if target.is_alive && target.incarnation == exchange.incarnation {
                if exchange.query_from <= self.now && !self.rng.random_bool(self.loss_probability) {
                    self.send_end(index, node_incarnation, &exchange);
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
        self.nodes[index].lease_end_us = self.now + LEASE_US;
        let until = self.nodes[index].clock(self.now) + Duration::from_micros(USABLE_LEASE_US);
        self.handle(index, Input::Lease { until });
    }

    /// Updates the view and delivers it, renews leases, queries targets and ticks the machines.
    fn run_round(&mut self) {
        self.schedule(self.now + ROUND_INTERVAL_US, Event::Round);
        self.update_view();
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.machine.is_none() {
                continue;
            }
            if !node.is_isolated {
                let member = self.view.member(&node.id);
                let is_member = member.is_some_and(|member| member.incarnation == node.incarnation);
                if node.epoch() < self.view.epoch {
                    let next = if node.epoch().0 == 0 {
                        self.view.epoch
                    } else {
                        node.epoch().next()
                    };
                    let view = self.views[next.0 as usize - 1].clone();
                    let at = self.now + self.rng.random_range(100..=self.max_delay_us);
                    self.schedule(at, Event::Epoch(index, view));
                }
                if is_member {
                    self.grant(index);
                }
                self.query_targets(index);
            }
            self.handle(index, Input::Tick);
        }
    }

    fn update_view(&mut self) {
        let mut members = Vec::new();
        for node in &self.nodes {
            let is_reachable = node.machine.is_some() && !node.is_isolated;
            let present = self.view.member(&node.id);
            let is_same_life = present.is_some_and(|member| member.incarnation == node.incarnation);
            let is_leased = self.now < node.lease_end_us && node.lease_end_us > 0;
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
        // A member whose lease expired while it was isolated must sync again, like a restarted one. If no
        // full member is left, all members become full and start without history.
        let is_cold_start = !members.iter().any(|member| member.state == MemberState::Full);
        for member in &mut members {
            if is_cold_start {
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

    /// Asserts that no task started twice and that all answers agree with the starts at the targets.
    pub fn check(&self) {
        let seed = self.seed;
        for ((key, task), starts) in &self.starts {
            assert_eq!(
                *starts, 1,
                "seed {seed}: {key} task {task} started {starts} times"
            );
        }
        for (caller, reply) in &self.replies {
            let key = &self.called_keys[caller];
            match reply {
                Ok(answer) => self.check_answer(key, answer),
                Err(refused) => {
                    let is_false = refused.outcome == Outcome::NotRun && self.has_started(key);
                    let is_excused = refused.reason == RefusalReason::KeyReused;
                    assert!(
                        !is_false || is_excused,
                        "seed {seed}: {key}: started, but refused as not run: {refused}"
                    );
                }
            }
        }
    }

    fn check_answer(&self, key: &JobKey, answer: &JobAnswer) {
        let seed = self.seed;
        assert_eq!(&answer.key, key, "seed {seed}: got the answer of another job");
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
