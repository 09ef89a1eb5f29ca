use std::{collections::BTreeMap, time::Duration};

use kqr_types::{Incarnation, Instant, TargetId};

/// Time for which a target that left is remembered.
const KEPT: Duration = Duration::from_secs(60);

/// The targets that left and are gone, so that late messages of their last life don't bring them back.
#[derive(Clone, Debug, Default)]
pub struct Tombstones {
    left: BTreeMap<TargetId, Left>,
}

#[derive(Clone, Copy, Debug)]
struct Left {
    incarnation: Incarnation,
    at: Instant,
}

impl Tombstones {
    /// Remembers that a life of a target left.
    pub fn insert(&mut self, now: Instant, id: TargetId, incarnation: Incarnation) {
        self.left.insert(id, Left { incarnation, at: now });
    }

    /// Returns whether a life of a target has left.
    pub fn covers(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        self.left
            .get(id)
            .is_some_and(|left| left.incarnation >= incarnation)
    }

    /// Forgets what is older than the time for which targets are remembered.
    pub fn expire(&mut self, now: Instant) {
        self.left.retain(|_, left| now.since(left.at) < KEPT);
    }
}
