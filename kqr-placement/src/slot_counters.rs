use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

use crate::free_map::FreeMap;

/// Usage of a target's slots by this instance. The counters outlive the announcements of the target.
#[derive(Debug)]
pub(crate) struct SlotCounters {
    free_map: Arc<FreeMap>,
    /// Index of the target in the free map.
    pub index: usize,
    used: AtomicU32,
    slots: AtomicU32,
    share: AtomicU32,
    cap: AtomicU32,
    is_open: AtomicBool,
}

impl SlotCounters {
    /// Creates the counters of a target that accepts work and has no slot in use.
    pub fn new(free_map: Arc<FreeMap>, index: usize, slots: u32, share: u32) -> Self {
        let counters = Self {
            free_map,
            index,
            used: AtomicU32::new(0),
            slots: AtomicU32::new(slots),
            share: AtomicU32::new(share),
            cap: AtomicU32::new(u32::MAX),
            is_open: AtomicBool::new(true),
        };
        counters.update_free_map();
        counters
    }

    /// Returns the number of slots in use.
    pub fn used(&self) -> u32 {
        self.used.load(Ordering::SeqCst)
    }

    /// Returns the number of slots that this instance may use.
    pub fn limit(&self) -> u32 {
        let slots = self.slots.load(Ordering::SeqCst);
        let share = self.share.load(Ordering::SeqCst);
        slots.min(share).min(self.cap.load(Ordering::SeqCst))
    }

    /// Returns whether the target accepts new work.
    pub fn is_open(&self) -> bool {
        self.is_open.load(Ordering::SeqCst)
    }

    /// Sets the number of slots that the target has.
    pub fn set_slots(&self, slots: u32) {
        self.slots.store(slots, Ordering::SeqCst);
        self.update_free_map();
    }

    /// Sets the number of slots that are leased to this instance.
    pub fn set_share(&self, share: u32) {
        self.share.store(share, Ordering::SeqCst);
        self.update_free_map();
    }

    /// Sets a temporary limit on the slots that may be used, in addition to the share.
    pub fn set_cap(&self, cap: u32) {
        self.cap.store(cap, Ordering::SeqCst);
        self.update_free_map();
    }

    /// Sets whether the target accepts new work.
    pub fn set_open(&self, is_open: bool) {
        self.is_open.store(is_open, Ordering::SeqCst);
        self.update_free_map();
    }

    /// Takes a slot and returns whether one was free.
    pub fn take(&self) -> bool {
        let limit = self.limit();
        let step = |used: u32| (used < limit).then_some(used + 1);
        if !self.is_open() {
            return false;
        }
        let taken = self.used.fetch_update(Ordering::SeqCst, Ordering::SeqCst, step);
        let Ok(before) = taken else {
            return false;
        };
        if before + 1 >= limit {
            self.update_free_map();
        }
        true
    }

    /// Releases a slot. Returns false if none was in use.
    pub fn release(&self) -> bool {
        let step = |used: u32| used.checked_sub(1);
        let released = self.used.fetch_update(Ordering::SeqCst, Ordering::SeqCst, step);
        let Ok(before) = released else {
            return false;
        };
        if before >= self.limit() {
            self.update_free_map();
        }
        true
    }

    fn has_free(&self) -> bool {
        self.is_open() && self.used() < self.limit()
    }

    /// Updates the free map from the counters. Repeats until both agree, because other threads may change the
    /// counters concurrently.
    fn update_free_map(&self) {
        loop {
            let has_free = self.has_free();
            self.free_map.set(self.index, has_free);
            if self.has_free() == has_free {
                return;
            }
        }
    }
}
