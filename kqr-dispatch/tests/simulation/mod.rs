//! Simulation of entries and targets in virtual time, with links that can be cut, calls that can be lost or
//! delayed, and entries that can be suspended, killed and restarted.
#![allow(dead_code)]

mod builders;
mod calls;
mod checks;
mod entry;
mod links;
pub mod target;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

pub use builders::{id, job, record, target_id};
pub use calls::CallFault;
use entry::Entry;
use kqr_dispatch::{
    CallId, Dispatcher, Input, JobEnd, JobRequest, Options, Output, TargetCall, TargetEndpoint, TaskId,
};
use kqr_fleet::{FencingToken, TargetGrant, TargetReport};
use kqr_types::{DataCentre, Instant, TargetId};
use links::LinkEvent;
pub use target::{Target, TaskBehaviour};

/// One-way latency between two processes.
const LATENCY_MS: u64 = 1;
/// Timeout of a call to a target.
const CALL_TIMEOUT_MS: u64 = 130;
/// Time that an entry has for an orderly shutdown.
const SHUTDOWN_MS: u64 = 5_500;

/// Identifier of calls whose answers nobody waits for.
const NO_CALLER: CallId = CallId(u64::MAX);

/// A scheduled event.
#[derive(Clone, Debug)]
enum Event {
    Input(usize, Box<Input>),
    Call {
        entry: usize,
        id: kqr_dispatch::CallId,
        endpoint: TargetEndpoint,
        call: TargetCall,
    },
    Link {
        from: usize,
        to: usize,
        number: u64,
        event: LinkEvent,
    },
}

impl Event {
    /// Returns the entry that handles the event.
    fn receiver(&self) -> Option<usize> {
        match self {
            Self::Input(entry, _) => Some(*entry),
            Self::Link { from, event, .. } if event.is_for_sender() => Some(*from),
            Self::Link { to, .. } => Some(*to),
            Self::Call { .. } => None,
        }
    }
}

/// A fleet of entries and targets in virtual time.
pub struct Simulation {
    pub now: u64,
    entries: Vec<Entry>,
    pub targets: BTreeMap<TargetId, Target>,
    grants: BTreeMap<TargetId, (usize, FencingToken)>,
    last_token: u64,
    queue: BTreeMap<(u64, u64), Event>,
    count: u64,
    pub ends: BTreeMap<String, Vec<(usize, JobEnd)>>,
    /// Pairs of entries with a cut link.
    pub cut_links: Vec<(usize, usize)>,
    /// Pairs of entries whose messages from the first to the second are lost.
    pub cut_paths: Vec<(usize, usize)>,
    /// Pairs of sender and receiver whose deliveries are accepted, but not answered.
    pub lost_answers: Vec<(usize, usize)>,
    /// One-way delays between entries, in milliseconds.
    pub delays: BTreeMap<(usize, usize), u64>,
    /// Rate of the link of each entry to its siblings, in bytes a millisecond; unlimited if there is none.
    pub link_bytes_per_ms: Option<u64>,
    /// Whether calls to targets and their answers pass the links of the entries too.
    pub do_calls_share_links: bool,
    /// When the links of entries have sent what is queued, in microseconds.
    link_free_at: BTreeMap<usize, u64>,
    /// When the links of entries have received what is queued, in microseconds.
    receiving_free_at: BTreeMap<usize, u64>,
    /// Times at which callers give up calls on links with a rate.
    call_limits: BTreeMap<(usize, CallId), u64>,
    /// Pairs of entry and target with a cut link.
    pub cut_target_links: Vec<(usize, TargetId)>,
    /// Targets that leave, as far as control knows.
    pub leaving: BTreeSet<TargetId>,
    /// Evacuated data centres. Entries are notified by [`Self::publish_views`].
    pub evacuated: BTreeSet<DataCentre>,
    /// Returns the fault of each call.
    pub call_fault: Box<dyn FnMut(&TargetCall) -> CallFault>,
    /// Tasks that ran twice at the same time.
    pub duplicate_runs: BTreeSet<String>,
    /// Tasks with two runs at the same time that have the same payload.
    pub duplicates_of_one_payload: BTreeSet<String>,
    /// Tasks that started again with the same payload after their completion was acknowledged.
    pub restarts_after_done: BTreeSet<String>,
    /// Payloads of the runs whose completion was acknowledged, by task.
    acknowledged: BTreeMap<TaskId, BTreeSet<Arc<str>>>,
    /// Logged decisions of all entries.
    pub decisions: Vec<String>,
    /// Longest real time that an entry took for one input.
    pub longest_input: Duration,
    options: Options,
}

impl Simulation {
    /// Creates `entries` entries, and grants target N to entry N modulo `entries`.
    pub fn new(entries: usize, targets: usize, behaviour: TaskBehaviour) -> Self {
        Self::with_options(entries, targets, behaviour, Options::default())
    }

    /// Like [`Self::new`], with other options.
    pub fn with_options(entries: usize, targets: usize, behaviour: TaskBehaviour, options: Options) -> Self {
        let mut all = Vec::new();
        for number in 0..entries {
            all.push(Entry::new(number, 1, &options));
        }
        let mut sim = Self {
            now: 1_000,
            entries: all,
            targets: BTreeMap::new(),
            grants: BTreeMap::new(),
            last_token: 0,
            queue: BTreeMap::new(),
            count: 0,
            ends: BTreeMap::new(),
            cut_links: Vec::new(),
            cut_paths: Vec::new(),
            lost_answers: Vec::new(),
            delays: BTreeMap::new(),
            link_bytes_per_ms: None,
            do_calls_share_links: false,
            link_free_at: BTreeMap::new(),
            receiving_free_at: BTreeMap::new(),
            call_limits: BTreeMap::new(),
            cut_target_links: Vec::new(),
            leaving: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            call_fault: Box::new(|_| CallFault::Normal),
            duplicate_runs: BTreeSet::new(),
            duplicates_of_one_payload: BTreeSet::new(),
            restarts_after_done: BTreeSet::new(),
            acknowledged: BTreeMap::new(),
            decisions: Vec::new(),
            longest_input: Duration::ZERO,
            options,
        };
        for number in 0..targets {
            sim.add_target(number, behaviour);
            sim.grant_target(number, number % entries);
        }
        sim.publish_views();
        sim.run_for(500);
        sim
    }

    /// Restarts an entry in another data centre. The others are notified by [`Self::publish_views`].
    pub fn place_entry(&mut self, entry: usize, data_centre: &str) {
        let incarnation = self.entries[entry].info.incarnation.0 + 1;
        let data_centre = data_centre.parse().unwrap();
        self.entries[entry] = Entry::new_in(data_centre, entry, incarnation, &self.options);
    }

    /// Adds a target without an owner.
    pub fn add_target(&mut self, number: usize, behaviour: TaskBehaviour) {
        let record = record(number);
        self.targets
            .insert(record.id.clone(), Target::new(record, behaviour));
    }

    /// Grants a target to an entry under a new token. Entries are notified by [`Self::publish_views`].
    pub fn grant_target(&mut self, target: usize, entry: usize) {
        self.last_token += 1;
        self.grants
            .insert(target_id(target), (entry, FencingToken(self.last_token)));
    }

    /// Sends all entries the live entries and their own targets.
    pub fn publish_views(&mut self) {
        for number in 0..self.entries.len() {
            self.publish_view(number);
        }
    }

    pub fn publish_view(&mut self, number: usize) {
        self.publish_view_without(number, &[]);
    }

    /// Sends an entry a view that lacks some of the live entries, which control has not heard for a while.
    pub fn publish_view_without(&mut self, number: usize, unheard: &[usize]) {
        let mut entries = Vec::new();
        for (other, entry) in self.entries.iter().enumerate() {
            if entry.is_up && !unheard.contains(&other) {
                entries.push(entry.info.clone());
            }
        }
        let mut owned = Vec::new();
        for (target, (owner, token)) in &self.grants {
            if *owner == number {
                owned.push(TargetGrant {
                    record: self.targets[target].record.clone(),
                    token: *token,
                    is_leaving: self.leaving.contains(target),
                    is_evacuated: self.evacuated.contains(&self.targets[target].record.data_centre),
                    must_release: false,
                });
            }
        }
        self.input(number, Input::ViewChanged { entries, owned });
        self.close_links_to_gone(number);
    }

    fn close_links_to_gone(&mut self, number: usize) {
        let known = self.entries[number].dispatcher.siblings();
        let infos: Vec<_> = self.entries.iter().map(|entry| entry.info.id.clone()).collect();
        self.entries[number].links.retain(|to, link| {
            let mut known = known.iter();
            known.any(|sibling| sibling.id == infos[*to] && sibling.incarnation == link.sibling_incarnation)
        });
    }

    pub fn submit(&mut self, entry: usize, job: JobRequest) {
        self.input(entry, Input::Submit(job));
    }

    pub fn abandon(&mut self, entry: usize, key: &str) {
        self.input(entry, Input::Abandon(key.parse().unwrap()));
    }

    /// Starts the shutdown of an entry, which gives up its remaining jobs after `millis`.
    pub fn shut_down_within(&mut self, entry: usize, millis: u64) {
        let time_left = Duration::from_millis(millis);
        self.input(entry, Input::Leave { time_left });
    }

    pub fn shut_down(&mut self, entry: usize) {
        self.shut_down_within(entry, SHUTDOWN_MS);
    }

    /// Passes an input to an entry directly.
    pub fn inject(&mut self, entry: usize, input: Input) {
        self.input(entry, input);
    }

    pub fn dispatcher(&self, entry: usize) -> &Dispatcher {
        &self.entries[entry].dispatcher
    }

    /// Takes the reports that an entry passes on to control.
    pub fn take_reports(&mut self, entry: usize) -> Vec<TargetReport> {
        self.entries[entry].dispatcher.take_reports()
    }

    /// Stops an entry abruptly.
    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].is_up = false;
    }

    /// Restarts a killed entry as a new incarnation without any state.
    pub fn restart(&mut self, entry: usize) {
        let incarnation = self.entries[entry].info.incarnation.0 + 1;
        self.restart_as(entry, incarnation);
    }

    /// Restarts a killed entry as the given incarnation, which is lower if its clock was set back.
    pub fn restart_as(&mut self, entry: usize, incarnation: u64) {
        self.entries[entry] = Entry::new(entry, incarnation, &self.options);
        self.queue.retain(|_, event| event.receiver() != Some(entry));
        for event in self.queue.values_mut() {
            if let Event::Call {
                entry: caller, id, ..
            } = event
                && *caller == entry
            {
                *id = NO_CALLER;
            }
        }
    }

    /// Restarts a target as a new incarnation. The calls that it had not carried out yet are lost.
    pub fn restart_target(&mut self, number: usize) {
        let restarted = target_id(number);
        self.queue.retain(|_, event| {
            !matches!(event, Event::Call { id, endpoint, .. }
                if *id == NO_CALLER && endpoint.target == restarted)
        });
        if let Some(target) = self.targets.get_mut(&restarted) {
            target.restart();
        }
    }

    pub fn suspend(&mut self, entry: usize) {
        self.entries[entry].is_suspended = true;
    }

    /// Resumes an entry, which handles the events that arrived meanwhile.
    pub fn resume(&mut self, entry: usize) {
        self.entries[entry].is_suspended = false;
        for event in std::mem::take(&mut self.entries[entry].deferred) {
            self.handle_event(event);
        }
    }

    pub fn end_of(&self, key: &str) -> Option<&JobEnd> {
        self.ends
            .get(key)
            .and_then(|ends| ends.first())
            .map(|(_, end)| end)
    }

    /// Advances the virtual time.
    pub fn run_for(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            for target in self.targets.values_mut() {
                if target.restarts_at.is_some_and(|at| at <= self.now) {
                    target.restart();
                }
                if target.is_up {
                    target.advance(self.now);
                }
            }
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle_event(event);
            }
            if self.now.is_multiple_of(10) {
                for number in 0..self.entries.len() {
                    self.input(number, Input::Tick);
                }
            }
            self.check_runs();
        }
    }

    fn input(&mut self, number: usize, input: Input) {
        let entry = &mut self.entries[number];
        if !entry.is_up || entry.is_suspended {
            if entry.is_suspended && input != Input::Tick {
                entry.deferred.push(Event::Input(number, Box::new(input)));
            }
            return;
        }
        let mut outputs = Vec::new();
        let started = std::time::Instant::now();
        entry
            .dispatcher
            .handle(Instant(self.now * 1000), input, &mut outputs);
        self.longest_input = self.longest_input.max(started.elapsed());
        for output in outputs {
            self.output(number, output);
        }
    }

    fn output(&mut self, number: usize, output: Output) {
        match output {
            Output::Call { id, endpoint, call } => {
                self.send_call(number, id, endpoint, call);
            }
            Output::Send { to, message } => self.send(number, &to, message),
            Output::ResetLink { sibling } => {
                let sibling = self.entries.iter().position(|entry| entry.info.id == sibling);
                let links = &mut self.entries[number].links;
                if let Some(link) = sibling.and_then(|sibling| links.get_mut(&sibling)) {
                    link.outbox.handle_link_loss();
                }
            }
            Output::JobEnded { job, end } => {
                self.ends.entry(job.to_string()).or_default().push((number, end));
            }
            Output::Decision(decision) => self
                .decisions
                .push(format!("{} ms, entry {number}: {decision:?}", self.now)),
        }
    }

    fn schedule(&mut self, millis: u64, event: Event) {
        self.count += 1;
        self.queue.insert((self.now + millis, self.count), event);
    }

    fn handle_event(&mut self, event: Event) {
        if let Event::Link { event: kind, .. } = &event
            && !kind.is_for_kernel()
            && let Some(receiver) = event.receiver()
            && self.entries[receiver].is_suspended
        {
            self.entries[receiver].deferred.push(event);
            return;
        }
        match event {
            Event::Input(entry, input) => self.input(entry, *input),
            Event::Call {
                entry,
                id,
                endpoint,
                call,
            } => self.call(entry, id, &endpoint, call),
            Event::Link {
                from,
                to,
                number,
                event,
            } => self.link_event(from, to, number, event),
        }
    }
}
