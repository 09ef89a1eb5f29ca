//! Entries and targets in virtual time, with links that can be cut, delayed and frozen.
#![allow(dead_code)]

mod builders;
mod calls;
mod links;
pub mod target;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

pub use builders::{id, job, record, target_id};
pub use calls::CallFate;
use kqr_dispatch::{
    Dispatcher, Input, JobEnd, JobRequest, Options, Output, Sessions, SiblingMessage, TargetCall,
    TargetEndpoint,
};
use kqr_fleet::{EntryInfo, FencingToken, TargetGrant};
use kqr_types::{Incarnation, Instant, TargetId};
pub use target::{Manner, Target};

/// One way between two processes, in milliseconds.
const WAY_MS: u64 = 1;
/// Time after which an unanswered call counts as lost.
const CALL_TIMEOUT_MS: u64 = 130;
/// Time that an entry has for its shutdown.
const LEAVE_MS: u64 = 5_500;
/// Time after which undelivered messages to a sibling are given up.
const GIVE_UP_MS: u64 = 600;

/// Something that happens at a time.
#[derive(Clone, Debug)]
enum Event {
    Input(usize, Box<Input>),
    Call {
        entry: usize,
        id: kqr_dispatch::CallId,
        endpoint: TargetEndpoint,
        call: TargetCall,
    },
    Message {
        from: usize,
        to: usize,
        session: u64,
        message: Box<SiblingMessage>,
    },
}

/// One entry.
struct Entry {
    info: EntryInfo,
    machine: Dispatcher,
    sessions: Sessions,
    /// Sessions to siblings, opened by them.
    sends: BTreeMap<usize, u64>,
    /// Until when messages to a sibling wait behind one that can't be delivered.
    blocked: BTreeMap<usize, u64>,
    is_up: bool,
    is_frozen: bool,
    /// What arrives while the entry is frozen.
    held: Vec<Event>,
}

/// The world.
pub struct World {
    pub now: u64,
    entries: Vec<Entry>,
    pub targets: BTreeMap<TargetId, Target>,
    grants: BTreeMap<TargetId, (usize, FencingToken)>,
    last_token: u64,
    queue: BTreeMap<(u64, u64), Event>,
    count: u64,
    pub ends: BTreeMap<String, Vec<(usize, JobEnd)>>,
    /// Cut pairs of entries.
    pub cuts: Vec<(usize, usize)>,
    /// Cut pairs of entry and target.
    pub target_cuts: Vec<(usize, TargetId)>,
    /// Decides what happens to each call.
    pub fate: Box<dyn FnMut(&TargetCall) -> CallFate>,
    /// Tasks that were at work twice at the same time.
    pub doubles: BTreeSet<String>,
    /// Decisions of all entries.
    pub notes: Vec<String>,
    options: Options,
}

impl World {
    /// Creates `entries` entries; target number N goes to entry N modulo their number.
    pub fn new(entries: usize, targets: usize, manner: Manner) -> Self {
        let options = Options::default();
        let mut all = Vec::new();
        for number in 0..entries {
            all.push(new_entry(number, 1, &options));
        }
        let mut world = Self {
            now: 1_000,
            entries: all,
            targets: BTreeMap::new(),
            grants: BTreeMap::new(),
            last_token: 0,
            queue: BTreeMap::new(),
            count: 0,
            ends: BTreeMap::new(),
            cuts: Vec::new(),
            target_cuts: Vec::new(),
            fate: Box::new(|_| CallFate::Normal),
            doubles: BTreeSet::new(),
            notes: Vec::new(),
            options,
        };
        for number in 0..targets {
            let record = record(number);
            world
                .targets
                .insert(record.id.clone(), Target::new(record, manner));
            world.give(number, number % entries);
        }
        world.tell_views();
        world.run(500);
        world
    }

    /// Gives a target to an entry under a new token; the entries hear of it with [`Self::tell_views`].
    pub fn give(&mut self, target: usize, entry: usize) {
        self.last_token += 1;
        self.grants
            .insert(target_id(target), (entry, FencingToken(self.last_token)));
    }

    /// Tells all entries that are up of each other and of their targets.
    pub fn tell_views(&mut self) {
        for number in 0..self.entries.len() {
            self.tell_view(number);
        }
    }

    pub fn tell_view(&mut self, number: usize) {
        let live = self.entries.iter().filter(|entry| entry.is_up);
        let entries = live.map(|entry| entry.info.clone()).collect();
        let mut owned = Vec::new();
        for (target, (owner, token)) in &self.grants {
            if *owner == number {
                owned.push(TargetGrant {
                    record: self.targets[target].record.clone(),
                    token: *token,
                    is_leaving: false,
                    must_release: false,
                });
            }
        }
        self.input(number, Input::ViewChanged { entries, owned });
    }

    pub fn submit(&mut self, entry: usize, job: JobRequest) {
        self.input(entry, Input::Submit(job));
    }

    pub fn abandon(&mut self, entry: usize, key: &str) {
        self.input(entry, Input::Abandon(key.parse().unwrap()));
    }

    /// Shuts an entry down that ends after `millis`.
    pub fn leave_within(&mut self, entry: usize, millis: u64) {
        let time_left = Duration::from_millis(millis);
        self.input(entry, Input::Leave { time_left });
    }

    pub fn leave(&mut self, entry: usize) {
        self.leave_within(entry, LEAVE_MS);
    }

    /// Gives an entry an input of its links.
    pub fn tell(&mut self, entry: usize, input: Input) {
        self.input(entry, input);
    }

    pub fn machine(&self, entry: usize) -> &Dispatcher {
        &self.entries[entry].machine
    }

    /// Ends an entry at once.
    pub fn kill(&mut self, entry: usize) {
        self.entries[entry].is_up = false;
    }

    /// Starts an entry that was killed, without any memory.
    pub fn restart(&mut self, entry: usize) {
        let life = self.entries[entry].info.incarnation.0 + 1;
        self.entries[entry] = new_entry(entry, life, &self.options);
    }

    pub fn freeze(&mut self, entry: usize) {
        self.entries[entry].is_frozen = true;
    }

    /// Wakes an entry: what arrived meanwhile is handled now.
    pub fn thaw(&mut self, entry: usize) {
        self.entries[entry].is_frozen = false;
        for event in std::mem::take(&mut self.entries[entry].held) {
            self.perform(event);
        }
    }

    pub fn end_of(&self, key: &str) -> Option<&JobEnd> {
        self.ends
            .get(key)
            .and_then(|ends| ends.first())
            .map(|(_, end)| end)
    }

    /// Lets time pass.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            for target in self.targets.values_mut() {
                if target.is_up {
                    target.advance(self.now);
                }
            }
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.perform(event);
            }
            if self.now.is_multiple_of(10) {
                for number in 0..self.entries.len() {
                    self.input(number, Input::Tick);
                }
            }
            self.check_doubles();
        }
    }

    fn check_doubles(&mut self) {
        let mut seen = BTreeMap::new();
        for target in self.targets.values().filter(|target| target.is_up) {
            for run in target.running.keys() {
                *seen.entry(run.task.to_string()).or_insert(0) += 1;
            }
        }
        let doubles = seen.into_iter().filter(|(_, count)| *count > 1);
        self.doubles.extend(doubles.map(|(task, _)| task));
    }

    fn input(&mut self, number: usize, input: Input) {
        let entry = &mut self.entries[number];
        if !entry.is_up || entry.is_frozen {
            if entry.is_frozen && input != Input::Tick {
                entry.held.push(Event::Input(number, Box::new(input)));
            }
            return;
        }
        let mut outputs = Vec::new();
        entry
            .machine
            .handle(Instant(self.now * 1000), input, &mut outputs);
        for output in outputs {
            self.output(number, output);
        }
    }

    fn output(&mut self, number: usize, output: Output) {
        match output {
            Output::Call { id, endpoint, call } => {
                let entry = number;
                self.later(
                    WAY_MS,
                    Event::Call {
                        entry,
                        id,
                        endpoint,
                        call,
                    },
                );
            }
            Output::Send { to, message } => self.send(number, &to, message),
            Output::JobEnded { job, end } => {
                self.ends.entry(job.to_string()).or_default().push((number, end));
            }
            Output::Decision(note) => self
                .notes
                .push(format!("{} ms, entry {number}: {note:?}", self.now)),
        }
    }

    fn later(&mut self, millis: u64, event: Event) {
        self.count += 1;
        self.queue.insert((self.now + millis, self.count), event);
    }

    fn perform(&mut self, event: Event) {
        match event {
            Event::Input(entry, input) => self.input(entry, *input),
            Event::Call {
                entry,
                id,
                endpoint,
                call,
            } => self.call(entry, id, &endpoint, call),
            Event::Message {
                from,
                to,
                session,
                message,
            } => self.message(from, to, session, message),
        }
    }
}

fn new_entry(number: usize, life: u64, options: &Options) -> Entry {
    let info = EntryInfo {
        id: id(number),
        incarnation: Incarnation(life),
        data_centre: "uppsala".parse().unwrap(),
        siblings: format!("127.0.0.1:{}", 7000 + number).parse().unwrap(),
        reports: format!("127.0.0.1:{}", 7100 + number).parse().unwrap(),
        weight: 250,
        is_leaving: false,
    };
    Entry {
        machine: Dispatcher::new(info.clone(), options.clone()),
        info,
        sessions: Sessions::default(),
        sends: BTreeMap::new(),
        blocked: BTreeMap::new(),
        is_up: true,
        is_frozen: false,
        held: Vec::new(),
    }
}
