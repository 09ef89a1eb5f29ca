use std::{collections::BTreeMap, time::Duration};

use kqr_types::{Instant, KeyDigest};

use crate::TombstoneKind;

/// Tombstones are forgotten in groups whose ends lie this far apart.
const GROUP_INTERVAL: Duration = Duration::from_secs(3600);

/// Jobs whose answers are no longer kept, and keys that must not be run here.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Tombstones {
    groups: BTreeMap<Instant, BTreeMap<KeyDigest, TombstoneKind>>,
}

impl Tombstones {
    /// Remembers what remains of `job` at least until `until`.
    pub fn insert(&mut self, job: KeyDigest, kind: TombstoneKind, until: Instant) {
        let group = GROUP_INTERVAL.as_micros() as u64;
        let end = Instant(until.0.div_ceil(group).saturating_mul(group));
        self.groups.entry(end).or_default().insert(job, kind);
    }

    /// Returns what remains of `job`.
    pub fn get(&self, job: KeyDigest) -> Option<TombstoneKind> {
        self.groups.values().find_map(|group| group.get(&job).copied())
    }

    /// Forgets what was to be remembered until `now`.
    pub fn expire(&mut self, now: Instant) {
        while let Some(group) = self.groups.first_entry() {
            if *group.key() > now {
                break;
            }
            group.remove();
        }
    }

    /// Keeps the tombstones that `is_kept` names.
    pub fn retain<Predicate>(&mut self, mut is_kept: Predicate)
    where
        Predicate: FnMut(KeyDigest) -> bool,
    {
        for group in self.groups.values_mut() {
            group.retain(|job, _| is_kept(*job));
        }
    }

    /// Returns each tombstone with the end of its time.
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

/// One remembered outcome.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tombstone {
    /// The job.
    pub job: KeyDigest,
    /// What remains of it.
    pub kind: TombstoneKind,
    /// End of its time.
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
