use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// Width of the buckets of speeds: the difference of the natural logarithms of two ratios of run time to estimate.
const SLOWNESS_BUCKET_WIDTH: f32 = 0.05;
/// Bucket of targets whose runs take as long as estimated.
const NORMAL_SLOWNESS_BUCKET: f32 = 1024.0;
/// Width of the buckets of free processors, in thousandths of a core.
const CPU_BUCKET_MILLI: u64 = 500;

/// Position of a target in the index. Of targets of about the same speed, those of this entry itself
/// come first. The others are sorted by their free processors, most first, and equal ones differently at each
/// coordinator, so that coordinators seldom pick the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FreeKey {
    pub(super) is_far: bool,
    pub(super) slowness: u16,
    pub(super) is_sibling: bool,
    pub(super) free: Reverse<u32>,
    pub(super) spread: u32,
    pub(super) owner: u32,
    pub(super) position: u32,
}

impl FreeKey {
    /// Returns the lowest key of the targets of a speed.
    const fn first(is_far: bool, slowness: u16) -> Self {
        Self {
            is_far,
            slowness,
            is_sibling: false,
            free: Reverse(u32::MAX),
            spread: 0,
            owner: 0,
            position: 0,
        }
    }

    /// Returns a key above those of the targets of a speed with at least `free` processors.
    const fn last(is_far: bool, slowness: u16, free: u32) -> Self {
        Self {
            is_far,
            slowness,
            is_sibling: true,
            free: Reverse(free),
            spread: u32::MAX,
            owner: u32::MAX,
            position: u32::MAX,
        }
    }
}

/// Returns the bucket of a ratio of run time to estimate.
pub(super) fn slowness_bucket(slowness: f32) -> u16 {
    (slowness.ln() / SLOWNESS_BUCKET_WIDTH + NORMAL_SLOWNESS_BUCKET) as u16
}

/// Returns the ratio of run time to estimate at the centre of a bucket.
fn bucket_slowness(bucket: u16) -> f32 {
    ((f32::from(bucket) + 0.5 - NORMAL_SLOWNESS_BUCKET) * SLOWNESS_BUCKET_WIDTH).exp()
}

/// Returns the rate at which a target works, in thousandths of a core of normal speed.
fn rate_of(key: &FreeKey, cpu_milli: u64) -> u64 {
    (cpu_milli as f32 / bucket_slowness(key.slowness)) as u64
}

/// Returns the bucket of free processors, in thousandths of a core.
pub(super) fn cpu_bucket(cpu_milli: u64) -> u32 {
    u32::try_from(cpu_milli / CPU_BUCKET_MILLI).unwrap_or(u32::MAX)
}

/// Targets of a service that accept runs, by data centre, speed and free processors.
#[derive(Clone, Debug, Default)]
pub(super) struct FreeIndex {
    keys: BTreeSet<FreeKey>,
    /// Total processors of the targets, whether free or not.
    cpu_milli: u64,
    /// Total of the buckets of free processors.
    free_buckets: u64,
    /// Total rates of the targets by their processors, both in thousandths of a core.
    rates: BTreeMap<u64, u64>,
}

impl FreeIndex {
    pub(super) fn insert(&mut self, key: FreeKey, cpu_milli: u64) {
        if self.keys.insert(key) {
            self.cpu_milli = self.cpu_milli.saturating_add(cpu_milli);
            self.free_buckets += u64::from(key.free.0);
            let rate = self.rates.entry(cpu_milli).or_default();
            *rate = rate.saturating_add(rate_of(&key, cpu_milli));
        }
    }

    pub(super) fn remove(&mut self, key: &FreeKey, cpu_milli: u64) {
        if self.keys.remove(key) {
            self.cpu_milli = self.cpu_milli.saturating_sub(cpu_milli);
            self.free_buckets -= u64::from(key.free.0);
            if let Some(rate) = self.rates.get_mut(&cpu_milli) {
                *rate = rate.saturating_sub(rate_of(key, cpu_milli));
            }
            if self.rates.get(&cpu_milli) == Some(&0) {
                self.rates.remove(&cpu_milli);
            }
        }
    }

    /// Returns the ratio of run time to estimate on a target of the mean speed.
    pub(super) fn usual_slowness(&self) -> f32 {
        let rate: u64 = self.rates.values().sum();
        if rate == 0 {
            return 1.0;
        }
        self.cpu_milli as f32 / rate as f32
    }

    /// Returns the rate, in thousandths of a core of normal speed, at which the targets work off tasks of `cpu_milli`.
    /// Processors of a target that no such task can use do not count.
    pub(super) fn drain_rate(&self, cpu_milli: u64) -> u64 {
        let mut total = 0_u64;
        for (&capacity, &rate) in &self.rates {
            let used = match capacity.checked_div(cpu_milli) {
                Some(tasks) => tasks * cpu_milli,
                None => capacity,
            };
            let share = u128::from(rate) * u128::from(used) / u128::from(capacity.max(1));
            total = total.saturating_add(u64::try_from(share).unwrap_or(u64::MAX));
        }
        total
    }

    /// Returns the part of the processors that is in use.
    pub(super) fn utilisation(&self) -> f32 {
        let free = self.free_buckets.saturating_mul(CPU_BUCKET_MILLI) as f32;
        1.0 - free / self.cpu_milli.max(1) as f32
    }

    /// Returns the slowest target of a ratio below `max_slowness`, by whole buckets, that has `cpu_milli` free and is
    /// accepted.
    pub(super) fn slowest_below<Accept>(
        &self,
        is_far: bool,
        max_slowness: f32,
        cpu_milli: u64,
        accept: Accept,
    ) -> Option<FreeKey>
    where
        Accept: Fn(&FreeKey) -> bool,
    {
        let free = cpu_bucket(cpu_milli);
        let mut below = FreeKey::last(is_far, slowness_bucket(max_slowness).checked_sub(1)?, 0);
        loop {
            let slowness = self
                .keys
                .range(FreeKey::first(is_far, 0)..=below)
                .next_back()?
                .slowness;
            if let Some(found) = self.in_bucket(is_far, slowness, free).find(|key| accept(key)) {
                return Some(*found);
            }
            below = FreeKey::last(is_far, slowness.checked_sub(1)?, 0);
        }
    }

    /// Returns the fastest target that has `cpu_milli` free and is accepted; of equal ones one of the own data centre.
    pub(super) fn fastest<Accept>(&self, cpu_milli: u64, accept: Accept) -> Option<FreeKey>
    where
        Accept: Fn(&FreeKey) -> bool,
    {
        let near = self.with_cpu(false, cpu_milli).find(|key| accept(key));
        let far = self.with_cpu(true, cpu_milli).find(|key| accept(key));
        match (near, far) {
            (Some(near), Some(far)) if far.slowness < near.slowness => Some(*far),
            (near, far) => near.or(far).copied(),
        }
    }

    /// Returns all targets with `cpu_milli` free, up to the width of a bucket.
    pub(super) fn all_with_cpu(&self, cpu_milli: u64) -> impl Iterator<Item = &FreeKey> {
        let near = self.with_cpu(false, cpu_milli);
        near.chain(self.with_cpu(true, cpu_milli))
    }

    /// Returns the targets of the own or of other data centres with `cpu_milli` free, up to the width of a bucket, the
    /// fastest first.
    fn with_cpu(&self, is_far: bool, cpu_milli: u64) -> impl Iterator<Item = &FreeKey> {
        let free = cpu_bucket(cpu_milli);
        let mut slowness = Some(0);
        let buckets = std::iter::from_fn(move || {
            let from = FreeKey::first(is_far, slowness?);
            let next = self
                .keys
                .range(from..)
                .next()
                .filter(|key| key.is_far == is_far)?;
            slowness = next.slowness.checked_add(1);
            Some(next.slowness)
        });
        buckets.flat_map(move |slowness| self.in_bucket(is_far, slowness, free))
    }

    fn in_bucket(&self, is_far: bool, slowness: u16, free: u32) -> impl Iterator<Item = &FreeKey> {
        let first = FreeKey::first(is_far, slowness);
        let last = FreeKey::last(is_far, slowness, free);
        let own = self.keys.range(
            first..=FreeKey {
                is_sibling: false,
                ..last
            },
        );
        let siblings = self.keys.range(
            FreeKey {
                is_sibling: true,
                ..first
            }..=last,
        );
        own.chain(siblings)
    }
}
