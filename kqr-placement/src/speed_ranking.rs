use std::{collections::BTreeMap, sync::Arc};

use kqr_types::ClassName;

use crate::{Demand, Target, free_map, free_map::FreeMap, long_work_capacity::LongWorkCapacity};

/// Targets of about the same speed.
#[derive(Debug, Default)]
struct Bucket {
    /// Words of the free map that contain these targets, with the mask of their bits.
    masks: BTreeMap<usize, u64>,
    /// Number of slots that this instance may use.
    slots: f64,
    /// Sum of the speeds of these slots.
    capacity: f64,
    /// If fewer tasks than this are waiting, a task waits for a faster slot instead of taking one of these.
    wait_threshold: u32,
}

/// The targets of a service in descending order of speed for one class.
#[derive(Debug, Default)]
pub(crate) struct SpeedRanking {
    buckets: Vec<Bucket>,
}

/// Result of a search for a free slot.
#[derive(Debug)]
pub(crate) enum TakeResult {
    /// A slot of this target was taken.
    Target(Arc<Target>),
    /// The task is expected to end sooner if it waits for a faster slot.
    FasterSlotExpected,
    /// No suitable slot is free.
    NoFreeSlot,
}

impl SpeedRanking {
    /// Number of buckets per doubling of the speed.
    const BUCKETS_PER_DOUBLING: f64 = 4.0;
    /// Fraction of the time saved by a faster slot that a task may wait for it. Waiting for the whole gain
    /// would be optimal for a single task, but it also delays the tasks queued behind it.
    const MAX_WAIT_FRACTION: f64 = 0.03;

    /// Ranks `targets` for `class`, where `relative_run_time` is the mean run time of the class divided by
    /// that of all classes.
    pub fn new(targets: &[Option<Arc<Target>>], class: Option<&ClassName>, relative_run_time: f64) -> Self {
        let mut buckets: BTreeMap<i32, Bucket> = BTreeMap::new();
        for target in targets.iter().flatten() {
            let speed = target.speed(class);
            let level = (speed.log2() * Self::BUCKETS_PER_DOUBLING).round() as i32;
            let bucket = buckets.entry(-level).or_default();
            let (word, mask) = free_map::word_and_mask(target.state.slots.index);
            *bucket.masks.entry(word).or_default() |= mask;
            bucket.slots += f64::from(target.slot_limit());
            bucket.capacity += f64::from(target.slot_limit()) * speed;
        }
        let mut buckets: Vec<Bucket> = buckets.into_values().collect();
        set_wait_thresholds(&mut buckets, Self::MAX_WAIT_FRACTION * relative_run_time);
        Self { buckets }
    }

    /// Takes a slot of the fastest free target that satisfies `demand`.
    pub fn take(&self, targets: &[Option<Arc<Target>>], free: &FreeMap, demand: &Demand<'_>) -> TakeResult {
        for bucket in &self.buckets {
            if demand
                .waiting_tasks
                .is_some_and(|waiting| waiting < bucket.wait_threshold)
            {
                return TakeResult::FasterSlotExpected;
            }
            if let Some(target) = bucket.take(targets, free, demand, Target::take_slot) {
                return TakeResult::Target(target);
            }
        }
        TakeResult::NoFreeSlot
    }

    /// Takes a slot for long work on the slowest free target that satisfies `demand` and whose size has
    /// capacity left for long work.
    pub fn take_long(
        &self,
        targets: &[Option<Arc<Target>>],
        free: &FreeMap,
        demand: &Demand<'_>,
        capacity: &LongWorkCapacity,
    ) -> TakeResult {
        let take = |target: &Target| capacity.has_slots_at(target) && target.take_long_slot();
        for bucket in self.buckets.iter().rev() {
            if let Some(target) = bucket.take(targets, free, demand, take) {
                return TakeResult::Target(target);
            }
        }
        TakeResult::NoFreeSlot
    }
}

impl Bucket {
    /// Takes a slot of the first free target that satisfies `demand` and for which `take` succeeds.
    fn take<Take>(
        &self,
        targets: &[Option<Arc<Target>>],
        free: &FreeMap,
        demand: &Demand<'_>,
        take: Take,
    ) -> Option<Arc<Target>>
    where
        Take: Fn(&Target) -> bool,
    {
        let first = demand.spread_seed as usize % self.masks.len().max(1);
        let words = self.masks.iter().skip(first).chain(self.masks.iter().take(first));
        for (word, mask) in words {
            let mut candidates = free.load_word(*word) & mask;
            let rotation = (demand.spread_seed >> 8) % u64::BITS;
            while candidates != 0 {
                let bit = (candidates.rotate_right(rotation).trailing_zeros() + rotation) % u64::BITS;
                candidates &= !(1 << bit);
                let Some(Some(target)) = targets.get(free_map::index_of(*word, bit)) else {
                    continue;
                };
                if !target.fits(demand) || demand.avoid.contains(&target.announcement.id) {
                    continue;
                }
                if take(target) {
                    return Some(Arc::clone(target));
                }
            }
        }
        None
    }
}

/// Computes for each bucket how many tasks may wait for slots of faster buckets.
fn set_wait_thresholds(buckets: &mut [Bucket], wait_fraction: f64) {
    let mut slots = 0.0;
    let mut capacity = 0.0;
    for bucket in buckets {
        if slots > 0.0 && bucket.capacity > 0.0 {
            let own_slot_time = bucket.slots / bucket.capacity;
            let faster_slot_time = slots / capacity;
            // `capacity` faster slots become free per unit of time, so the wait is `waiting / capacity`.
            bucket.wait_threshold = ((own_slot_time - faster_slot_time) * capacity * wait_fraction) as u32;
        }
        slots += bucket.slots;
        capacity += bucket.capacity;
    }
}
