use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::{Announcement, Demand, Speed};

/// A target in the table, with the counters of its use by this instance.
#[derive(Debug)]
pub struct Target {
    /// What the target told of itself.
    pub announcement: Announcement,
    /// Learned speed.
    pub speed: Speed,
    used: AtomicU32,
}

impl Target {
    /// Creates a target of which no slot is used.
    pub fn new(announcement: Announcement) -> Self {
        Self {
            announcement,
            speed: Speed::new(),
            used: AtomicU32::new(0),
        }
    }

    /// Returns the number of slots that this instance uses.
    pub fn used(&self) -> u32 {
        self.used.load(Ordering::Acquire)
    }

    /// Takes a slot and returns whether one was free.
    pub fn take_slot(&self) -> bool {
        let slots = self.announcement.slots.0;
        let step = |used: u32| (used < slots).then_some(used + 1);
        self.used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, step)
            .is_ok()
    }

    /// Gives back a slot that was taken.
    pub fn release_slot(&self) {
        let step = |used: u32| used.checked_sub(1);
        let released = self.used.fetch_update(Ordering::AcqRel, Ordering::Acquire, step);
        debug_assert!(released.is_ok(), "a slot was released that was not taken");
    }

    /// Returns whether the target is large enough for `demand`.
    pub fn fits(&self, demand: &Demand<'_>) -> bool {
        let own = &self.announcement;
        demand.cores <= own.cores && demand.memory <= own.memory && demand.accelerators <= own.accelerators
    }

    /// Returns the run time that `demand` is expected to take here.
    pub fn expected_run_time(&self, demand: &Demand<'_>) -> Duration {
        demand.run_time.div_f64(self.speed.get())
    }
}
