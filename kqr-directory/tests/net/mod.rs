//! Simulated network of directories with message loss, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bincode::Options;
use kqr_directory::{Directory, Input, Message, Output};
use kqr_placement::{Announcement, TargetKind};
use kqr_types::{ByteSize, Incarnation, InstanceId, Instant, Slots, TargetId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Start of the virtual time.
pub const START: Instant = Instant(3_600_000_000);
/// Delay of a message.
const LATENCY: Duration = Duration::from_micros(500);
/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);

pub struct Net {
    pub now: Instant,
    pub rng: ChaCha8Rng,
    pub loss: f64,
    pub cut_links: BTreeSet<(usize, usize)>,
    pub entries: Vec<Directory>,
    /// Outputs other than messages, with their time and entry.
    pub outputs: Vec<(Instant, usize, Output)>,
    /// Bytes sent and received, by entry.
    pub bytes: Vec<u64>,
    /// Messages sent, by kind.
    pub message_counts: BTreeMap<&'static str, u64>,
    in_flight: Vec<(usize, usize, Message)>,
}

impl Net {
    pub fn new(entries: usize, seed: u64, loss: f64) -> Self {
        let mut net = Self {
            now: START,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss,
            cut_links: BTreeSet::new(),
            entries: (0..entries)
                .map(|entry| Directory::new(name(entry), START))
                .collect(),
            outputs: Vec::new(),
            bytes: vec![0; entries],
            message_counts: BTreeMap::new(),
            in_flight: Vec::new(),
        };
        for entry in 0..entries {
            net.handle(entry, Input::Peers(net.peers(entry)));
        }
        net
    }

    pub fn peers(&self, entry: usize) -> BTreeSet<InstanceId> {
        (0..self.entries.len())
            .filter(|peer| *peer != entry)
            .map(name)
            .collect()
    }

    pub fn cut_link(&mut self, left: usize, right: usize) {
        self.cut_links.insert((left.min(right), left.max(right)));
    }

    pub fn handle(&mut self, entry: usize, input: Input) {
        let mut outputs = Vec::new();
        self.entries[entry].handle(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(entry, index(&to), message),
                other => self.outputs.push((self.now, entry, other)),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let kind = match &message {
            Message::Delta { .. } => "delta",
            Message::Ack { .. } => "ack",
            Message::Beat(_) => "beat",
            Message::Pull { .. } => "pull",
            Message::Pulled(_) => "pulled",
        };
        *self.message_counts.entry(kind).or_default() += 1;
        let size = bincode::DefaultOptions::new().serialized_size(&message).unwrap();
        self.bytes[from] += size;
        let is_cut = self.cut_links.contains(&(from.min(to), from.max(to)));
        if !is_cut && !self.rng.random_bool(self.loss) {
            self.bytes[to] += size;
            self.in_flight.push((from, to, message));
        }
    }

    /// Delivers all messages in flight, and those sent in response.
    pub fn deliver(&mut self) {
        while !self.in_flight.is_empty() {
            self.now = self.now + LATENCY;
            for (from, to, message) in std::mem::take(&mut self.in_flight) {
                let from = name(from);
                self.handle(to, Input::Peer { from, message });
            }
        }
    }

    /// Advances the time by one tick.
    pub fn step(&mut self) {
        self.deliver();
        self.now = self.now + TICK;
        for entry in 0..self.entries.len() {
            self.handle(entry, Input::Tick);
        }
        self.deliver();
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Advances the time by `time`, and calls `before_tick` before each tick.
    pub fn run_with<F>(&mut self, time: Duration, mut before_tick: F)
    where
        F: FnMut(&mut Self),
    {
        let until = self.now + time;
        while self.now < until {
            before_tick(self);
            self.step();
        }
    }

    pub fn announce(&mut self, entry: usize, announcement: Announcement) {
        self.handle(entry, Input::Announced(announcement));
    }

    pub fn leave(&mut self, entry: usize, id: &TargetId, incarnation: Option<u64>) {
        let (id, incarnation) = (id.clone(), incarnation.map(Incarnation));
        self.handle(entry, Input::Leaving { id, incarnation });
    }

    pub fn restart(&mut self, entry: usize) {
        self.entries[entry] = Directory::new(name(entry), self.now);
        let peers = self.peers(entry);
        self.handle(entry, Input::Peers(peers));
    }

    pub fn is_leaving_everywhere(&self, id: &TargetId) -> bool {
        let is_leaving = |entry: &Directory| entry.get(id).is_some_and(|record| record.is_leaving);
        self.entries.iter().all(is_leaving)
    }

    pub fn is_converged(&self) -> bool {
        self.entries
            .iter()
            .all(|entry| entry.digest() == self.entries[0].digest())
    }

    /// Returns the number of outputs for which `is_counted` holds.
    pub fn count_outputs<F>(&self, is_counted: F) -> usize
    where
        F: Fn(&Output) -> bool,
    {
        self.outputs
            .iter()
            .filter(|(_, _, output)| is_counted(output))
            .count()
    }
}

pub fn name(entry: usize) -> InstanceId {
    format!("entry-uppsala-{entry:02}").parse().unwrap()
}

fn index(name: &InstanceId) -> usize {
    name.as_str().rsplit('-').next().unwrap().parse().unwrap()
}

pub fn target(number: usize, incarnation: u64) -> Announcement {
    Announcement {
        id: format!("worker-uppsala-{number:04}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        kind: TargetKind::Worker,
        service: "pressverk".parse().unwrap(),
        address: format!("10.0.{}.{}:7500", number / 250, number % 250 + 1)
            .parse()
            .unwrap(),
        slots: Slots(8),
        connections: 64,
        rack: format!("rack-{:02}", number / 8).parse().unwrap(),
        cores: 16,
        memory: ByteSize(64 << 30),
        accelerators: 1,
    }
}
