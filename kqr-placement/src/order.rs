use std::{collections::BTreeMap, sync::Arc};

use kqr_types::ClassName;

use crate::{Demand, Target, free_map, free_map::FreeMap, long_room::LongRoom};

/// Targets of about the same speed.
#[derive(Debug, Default)]
struct Bucket {
    /// Pairs of word and mask in the map of free targets.
    masks: BTreeMap<usize, u64>,
    /// Slots that this instance may use.
    slots: f64,
    /// Sum of speed over these slots.
    capacity: f64,
    /// A task waits for a faster slot instead if fewer tasks than this wait.
    hold_below: u32,
}

/// The targets of a service in descending order of their speed for one class.
#[derive(Debug, Default)]
pub(crate) struct Order {
    buckets: Vec<Bucket>,
}

/// What a walk over an order found.
#[derive(Debug)]
pub(crate) enum Found {
    /// A slot of the target was taken.
    Target(Arc<Target>),
    /// A faster slot is expected to end the task sooner than the free ones.
    FasterSlotExpected,
    /// No slot is free.
    Nothing,
}

impl Order {
    /// Buckets for each doubling of the speed.
    const BUCKETS_PER_OCTAVE: f64 = 4.0;
    /// Part of the gain of a faster slot that may be spent on waiting for it. The whole gain would be best for one
    /// task alone, but the tasks behind it would wait as well.
    const WAIT_PART: f64 = 0.03;

    /// Builds the order of `targets` for `class`, whose run time over that of all classes is `length`.
    pub fn new(targets: &[Option<Arc<Target>>], class: Option<&ClassName>, length: f64) -> Self {
        let mut buckets: BTreeMap<i32, Bucket> = BTreeMap::new();
        for target in targets.iter().flatten() {
            let speed = target.speed(class);
            let level = (speed.log2() * Self::BUCKETS_PER_OCTAVE).round() as i32;
            let bucket = buckets.entry(-level).or_default();
            let (word, mask) = free_map::position(target.state.slots.index);
            *bucket.masks.entry(word).or_default() |= mask;
            bucket.slots += f64::from(target.slot_limit());
            bucket.capacity += f64::from(target.slot_limit()) * speed;
        }
        let mut buckets: Vec<Bucket> = buckets.into_values().collect();
        set_holds(&mut buckets, Self::WAIT_PART * length);
        Self { buckets }
    }

    /// Takes a slot of the fastest free target that suits `demand`.
    pub fn take(&self, targets: &[Option<Arc<Target>>], free: &FreeMap, demand: &Demand<'_>) -> Found {
        for bucket in &self.buckets {
            if demand
                .waiting_tasks
                .is_some_and(|waiting| waiting < bucket.hold_below)
            {
                return Found::FasterSlotExpected;
            }
            if let Some(target) = bucket.take(targets, free, demand, Target::take_slot) {
                return Found::Target(target);
            }
        }
        Found::Nothing
    }

    /// Takes a slot of the slowest free target that suits the long work `demand` and has room for it.
    pub fn take_long(
        &self,
        targets: &[Option<Arc<Target>>],
        free: &FreeMap,
        demand: &Demand<'_>,
        room: &LongRoom,
    ) -> Found {
        let take = |target: &Target| room.is_at(target) && target.take_long_slot();
        for bucket in self.buckets.iter().rev() {
            if let Some(target) = bucket.take(targets, free, demand, take) {
                return Found::Target(target);
            }
        }
        Found::Nothing
    }
}

impl Bucket {
    /// Takes a slot of the first free target that suits `demand` and of which `take` takes one.
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
            let mut candidates = free.load(*word) & mask;
            let turn = (demand.spread_seed >> 8) % u64::BITS;
            while candidates != 0 {
                let bit = (candidates.rotate_right(turn).trailing_zeros() + turn) % u64::BITS;
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

/// Computes for each bucket how many tasks may wait for the faster ones.
fn set_holds(buckets: &mut [Bucket], wait_part: f64) {
    let mut slots = 0.0;
    let mut capacity = 0.0;
    for bucket in buckets {
        if slots > 0.0 && bucket.capacity > 0.0 {
            let own_time = bucket.slots / bucket.capacity;
            let faster_time = slots / capacity;
            // Faster slots come free at `capacity` a unit of work, so that `waiting / capacity` is the wait.
            bucket.hold_below = ((own_time - faster_time) * capacity * wait_part) as u32;
        }
        slots += bucket.slots;
        capacity += bucket.capacity;
    }
}
