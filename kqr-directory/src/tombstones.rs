use std::{collections::BTreeMap, time::Duration};

use kqr_types::{Incarnation, Instant, TargetId};

/// Time for which a tombstone is kept.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// Tombstones of removed targets that had left. They keep late messages of an ended incarnation from adding a
/// target again.
#[derive(Clone, Debug, Default)]
pub struct Tombstones {
    by_target: BTreeMap<TargetId, Tombstone>,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    incarnation: Incarnation,
    at: Instant,
}

impl Tombstones {
    /// Adds the tombstone of an incarnation of a target.
    pub fn insert(&mut self, now: Instant, id: TargetId, incarnation: Incarnation) {
        self.by_target.insert(id, Tombstone { incarnation, at: now });
    }

    /// Returns whether an incarnation of a target has left.
    pub fn covers(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        self.by_target
            .get(id)
            .is_some_and(|tombstone| tombstone.incarnation >= incarnation)
    }

    /// Removes the tombstones that have been kept for their full time.
    pub fn expire(&mut self, now: Instant) {
        self.by_target
            .retain(|_, tombstone| now.since(tombstone.at) < TOMBSTONE_RETENTION);
    }
}
