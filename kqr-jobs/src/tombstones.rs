use std::{collections::BTreeMap, time::Duration};

use kqr_types::{Instant, KeyDigest};

use crate::TombstoneKind;

/// Tombstones expire in groups; their expiry is rounded up to a multiple of this interval.
const GROUP_INTERVAL: Duration = Duration::from_secs(3600);

/// Jobs whose answers are no longer retained, and keys that must not be run here.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Tombstones {
    groups: BTreeMap<Instant, BTreeMap<KeyDigest, TombstoneKind>>,
}

impl Tombstones {
    /// Inserts a tombstone for `job` that expires at `until` at the earliest.
    pub fn insert(&mut self, job: KeyDigest, kind: TombstoneKind, until: Instant) {
        let group = GROUP_INTERVAL.as_micros() as u64;
        let end = Instant(until.0.div_ceil(group).saturating_mul(group));
        self.groups.entry(end).or_default().insert(job, kind);
    }

    /// Returns the kind of the tombstone of `job`.
    pub fn get(&self, job: KeyDigest) -> Option<TombstoneKind> {
        self.groups.values().find_map(|group| group.get(&job).copied())
    }

    /// Removes the groups that have expired at `now`.
    pub fn expire(&mut self, now: Instant) {
        while let Some(group) = self.groups.first_entry() {
            if *group.key() > now {
                break;
            }
            group.remove();
        }
    }

    /// Removes the tombstones for which `is_kept` returns `false`.
    pub fn retain<Predicate>(&mut self, mut is_kept: Predicate)
    where
        Predicate: FnMut(KeyDigest) -> bool,
    {
        for group in self.groups.values_mut() {
            group.retain(|job, _| is_kept(*job));
        }
    }

    /// Returns each tombstone with its expiry.
    pub fn iter(&self) -> impl Iterator<Item = Tombstone> {
        self.groups
            .iter()
            .flat_map(|(until, group)| group_tombstones(*until, group))
    }

    /// Returns the number of tombstones.
    pub fn len(&self) -> usize {
        self.groups.values().map(BTreeMap::len).sum()
    }
}

/// One tombstone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tombstone {
    /// The job.
    pub job: KeyDigest,
    /// What is recorded about the job.
    pub kind: TombstoneKind,
    /// Expiry, rounded up to the end of its group.
    pub until: Instant,
}

fn group_tombstones(
    until: Instant,
    group: &BTreeMap<KeyDigest, TombstoneKind>,
) -> impl Iterator<Item = Tombstone> {
    group.iter().map(move |(job, kind)| Tombstone {
        job: *job,
        kind: *kind,
        until,
    })
}
