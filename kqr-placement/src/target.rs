use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use kqr_types::ClassName;

use crate::{
    Announcement, Demand, SpeedEstimate,
    long_work_capacity::{TargetSize, long_slot_limit},
    slot_counters::SlotCounters,
};

/// State of a target that outlives its announcements.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub slots: SlotCounters,
    pub speed: SpeedEstimate,
    pub class_speeds: ArcSwap<BTreeMap<ClassName, Arc<SpeedEstimate>>>,
    pub long: AtomicU32,
}

/// A target in the table, with counters of its usage by this instance.
#[derive(Clone, Debug)]
pub struct Target {
    /// Latest announcement of the target.
    pub announcement: Announcement,
    pub(crate) state: Arc<TargetState>,
}

impl Target {
    /// Fraction of the slots of all targets of one size that long work may use. At least one slot is always
    /// allowed.
    pub const LONG_SLOT_FRACTION: f64 = 0.75;

    pub(crate) fn new(announcement: Announcement, slots: SlotCounters) -> Self {
        let state = TargetState {
            slots,
            speed: SpeedEstimate::new(),
            class_speeds: ArcSwap::default(),
            long: AtomicU32::new(0),
        };
        Self {
            announcement,
            state: Arc::new(state),
        }
    }

    /// Returns the number of slots that this instance uses.
    pub fn used_slots(&self) -> u32 {
        self.state.slots.used()
    }

    /// Returns the number of slots that this instance may use.
    pub fn slot_limit(&self) -> u32 {
        self.state.slots.limit()
    }

    /// Returns the number of slots that this instance may use and does not use.
    pub fn free_slots(&self) -> u32 {
        if !self.state.slots.is_open() {
            return 0;
        }
        self.slot_limit().saturating_sub(self.used_slots())
    }

    /// Returns whether the target accepts new work.
    pub fn accepts_work(&self) -> bool {
        self.state.slots.is_open()
    }

    /// Takes a slot and returns whether one was free.
    pub fn take_slot(&self) -> bool {
        self.state.slots.take()
    }

    /// Releases a slot. Does nothing in release builds if no slot is in use.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if no slot is in use.
    pub fn release_slot(&self) {
        let is_released = self.state.slots.release();
        debug_assert!(is_released, "released a slot that was not taken");
    }

    /// Takes a slot for long work and returns whether one was free.
    pub(crate) fn take_long_slot(&self) -> bool {
        let is_taken = self.take_slot();
        if is_taken {
            self.add_long_task();
        }
        is_taken
    }

    /// Decrements the number of long tasks. The slot must be released separately.
    pub fn remove_long_task(&self) {
        let step = |long: u32| long.checked_sub(1);
        let _ = self
            .state
            .long
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, step);
    }

    /// Increments the number of long tasks, for example when a running task turns out to be long.
    pub fn add_long_task(&self) {
        self.state.long.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the number of long tasks from which further tasks that turn out to be long while they run
    /// should be throttled.
    pub fn long_task_limit(&self) -> u32 {
        long_slot_limit(self.slot_limit())
    }

    /// Returns the size that is compared with the size of a demand.
    pub(crate) fn size(&self) -> TargetSize {
        let own = &self.announcement;
        (own.cores, own.memory, own.accelerators)
    }

    /// Returns the number of long tasks that this instance runs on the target.
    pub fn long_tasks(&self) -> u32 {
        self.state.long.load(Ordering::SeqCst)
    }

    /// Sets the number of slots that are leased to this instance.
    pub fn set_share(&self, share: u32) {
        self.state.slots.set_share(share);
    }

    /// Sets a temporary limit on the slots that may be used, in addition to the share. `u32::MAX` removes it.
    pub fn set_cap(&self, cap: u32) {
        self.state.slots.set_cap(cap);
    }

    /// Returns the learned speed for `class`, or the speed over all classes while the two do not differ
    /// significantly.
    pub fn speed(&self, class: Option<&ClassName>) -> f64 {
        let general = self.state.speed.get();
        if let Some(class) = class {
            let speeds = self.state.class_speeds.load();
            if let Some(own) = speeds.get(class).filter(|own| own.differs_from(general)) {
                return own.get();
            }
        }
        general
    }

    /// Records the run time of a completed task of `class`, whose run time at speed 1 is `typical`.
    pub(crate) fn observe(&self, class: &ClassName, typical: Duration, run_time: Duration) {
        self.state.speed.observe(typical, run_time);
        let speeds = self.state.class_speeds.load();
        if let Some(own) = speeds.get(class) {
            own.observe(typical, run_time);
            return;
        }
        self.state.class_speeds.rcu(|present| {
            let mut next = BTreeMap::clone(present);
            next.entry(class.clone()).or_default();
            next
        });
    }

    /// Returns whether the target is large enough for `demand`.
    pub fn fits(&self, demand: &Demand<'_>) -> bool {
        let own = &self.announcement;
        demand.cores <= own.cores && demand.memory <= own.memory && demand.accelerators <= own.accelerators
    }
}
