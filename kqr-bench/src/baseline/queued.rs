use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    event::{End, Event},
    policy::Policy,
    world::{ONE_WAY, World},
};

/// How an entry chooses the target at which a task waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Asks two random targets and takes the one with fewer tasks.
    TwoProbes,
    /// Takes the target that runs fewest of the entry's own tasks.
    LeastLoaded,
    /// Takes the targets in turn.
    RoundRobin,
    /// Takes any target.
    Random,
}

/// Entries that don't know of each other, and targets with queues.
#[derive(Debug)]
pub struct Queued {
    choice: Choice,
    rng: ChaCha8Rng,
    turns: Vec<usize>,
    own: Vec<Vec<u32>>,
    probes: BTreeMap<usize, (usize, [usize; 2])>,
}

impl Queued {
    /// Creates the entries.
    pub fn new(choice: Choice, entries: usize, targets: usize, seed: u64) -> Self {
        Self {
            choice,
            rng: ChaCha8Rng::seed_from_u64(seed),
            turns: (0..entries).collect(),
            own: vec![vec![0; targets]; entries],
            probes: BTreeMap::new(),
        }
    }

    fn start(&mut self, world: &mut World, task: usize, target: usize) {
        self.own[world.arrivals[task].entry][target] += 1;
        world.start(task, target);
    }

    fn least_loaded(&mut self, entry: usize) -> usize {
        let targets = self.own[entry].len();
        let first = self.rng.random_range(0..targets);
        let turned = (0..targets).map(|index| (index + first) % targets);
        turned
            .min_by_key(|index| self.own[entry][*index])
            .unwrap_or(first)
    }
}

impl Policy for Queued {
    fn begin(&mut self, world: &mut World) {
        world.has_target_queues = true;
    }

    fn arrives(&mut self, world: &mut World, task: usize) {
        let targets = world.fleet.len();
        let entry = world.arrivals[task].entry;
        let target = match self.choice {
            Choice::TwoProbes => {
                let pair = [
                    self.rng.random_range(0..targets),
                    self.rng.random_range(0..targets),
                ];
                self.probes.insert(task, (task, pair));
                world.waste(4);
                world.events.add(world.now + ONE_WAY, Event::Message(task));
                return;
            }
            Choice::LeastLoaded => self.least_loaded(entry),
            Choice::RoundRobin => {
                self.turns[entry] = (self.turns[entry] + 1) % targets;
                self.turns[entry]
            }
            Choice::Random => self.rng.random_range(0..targets),
        };
        self.start(world, task, target);
    }

    fn seen(&mut self, world: &mut World, task: usize, target: usize, end: End) {
        world.answer(task, end);
        let own = &mut self.own[world.arrivals[task].entry][target];
        *own = own.saturating_sub(1);
    }

    /// Probes arrive at their targets; their answers are back with the entry one way later.
    fn message(&mut self, world: &mut World, number: usize) {
        let Some((task, pair)) = self.probes.remove(&number) else {
            return;
        };
        let load = |target: usize| world.fleet[target].running as usize + world.fleet[target].waiting.len();
        let target = if load(pair[0]) <= load(pair[1]) {
            pair[0]
        } else {
            pair[1]
        };
        self.own[world.arrivals[task].entry][target] += 1;
        let event = Event::StartArrives { task, target };
        world.events.add(world.now + 2 * ONE_WAY, event);
    }

    fn timer(&mut self, _: &mut World, _: usize) {}
}
