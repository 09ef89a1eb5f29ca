use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{event::End, policy::Policy, world::World};

/// Which free slot a central queue starts a task on.
#[derive(Clone, Copy, Debug)]
pub enum FreeSlot {
    /// One of the fastest target that has any.
    Fastest,
    /// Any, drawn at random.
    Any,
}

/// One queue for all targets, which knows their true speeds and starts a task whenever any slot is free.
#[derive(Debug)]
pub struct Central {
    choice: FreeSlot,
    rng: ChaCha8Rng,
    waiting: VecDeque<usize>,
    used: Vec<u32>,
}

impl Central {
    /// Creates an empty queue.
    pub fn new(choice: FreeSlot, targets: usize, seed: u64) -> Self {
        Self {
            choice,
            rng: ChaCha8Rng::seed_from_u64(seed),
            waiting: VecDeque::new(),
            used: vec![0; targets],
        }
    }

    fn dispatch(&mut self, world: &mut World) {
        while let Some(task) = self.waiting.front().copied() {
            let Some(target) = self.free_target(world) else {
                return;
            };
            self.waiting.pop_front();
            self.used[target] += 1;
            world.start(task, target);
        }
    }

    fn free_target(&mut self, world: &World) -> Option<usize> {
        let is_free = |index: usize| self.used[index] < world.fleet[index].slots;
        match self.choice {
            FreeSlot::Fastest => {
                let free = (0..world.fleet.len()).filter(|index| is_free(*index));
                free.max_by(|left, right| world.fleet[*left].speed.total_cmp(&world.fleet[*right].speed))
            }
            FreeSlot::Any => {
                let free = |index: &usize| world.fleet[*index].slots - self.used[*index];
                let total: u32 = (0..world.fleet.len()).map(|index| free(&index)).sum();
                let mut drawn = self.rng.random_range(0..total.max(1));
                for index in 0..world.fleet.len() {
                    if drawn < free(&index) {
                        return Some(index);
                    }
                    drawn -= free(&index);
                }
                None
            }
        }
    }
}

impl Policy for Central {
    fn begin(&mut self, _: &mut World) {}

    fn arrives(&mut self, world: &mut World, task: usize) {
        self.waiting.push_back(task);
        self.dispatch(world);
    }

    fn seen(&mut self, world: &mut World, task: usize, target: usize, end: End) {
        world.answer(task, end);
        self.used[target] -= 1;
        self.dispatch(world);
    }

    fn message(&mut self, _: &mut World, _: usize) {}

    fn timer(&mut self, _: &mut World, _: usize) {}
}
