use std::collections::BTreeMap;

use kqr_placement::Announcement;
use kqr_types::{Incarnation, Instant, TargetId};

use crate::{
    CLEAR_SUSPICION_BELOW, EXPIRE_AFTER, Output, Record,
    bucket::{BUCKET_COUNT, Bucket, KnownTarget, bucket_of},
    tombstones::Tombstones,
};

/// A leave reported for a target that was not known here at the time.
#[derive(Clone, Copy, Debug)]
struct EarlyLeave {
    at: Instant,
    incarnation: Option<Incarnation>,
}

/// Targets known to an entry, without the state of their replication to siblings.
#[derive(Clone, Debug)]
pub struct Targets {
    buckets: Vec<Bucket>,
    tombstones: Tombstones,
    early_leaves: BTreeMap<TargetId, EarlyLeave>,
}

impl Targets {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self {
            buckets: vec![Bucket::default(); BUCKET_COUNT],
            tombstones: Tombstones::default(),
            early_leaves: BTreeMap::new(),
        }
    }

    /// Returns the buckets.
    pub fn buckets(&self) -> &[Bucket] {
        &self.buckets
    }

    /// Returns a target.
    pub fn get(&self, id: &TargetId) -> Option<&KnownTarget> {
        self.buckets[bucket_of(id)].targets().get(id)
    }

    /// Handles an announcement made at this entry. Returns whether to send the record to the siblings.
    pub fn announce(&mut self, now: Instant, announcement: Announcement, outputs: &mut Vec<Output>) -> bool {
        let id = announcement.id.clone();
        if self.tombstones.covers(&id, announcement.incarnation) {
            return false;
        }
        let mut record = Record::new(announcement);
        if let Some(known) = self.get(&id) {
            let (old, new) = (&known.record.announcement, &record.announcement);
            if new.incarnation < old.incarnation {
                return false;
            }
            if new.incarnation == old.incarnation {
                if known.record.is_leaving || new == old {
                    self.renew(&id, now, now, outputs);
                    return false;
                }
                record.revision = known.record.revision + 1;
            }
        }
        self.insert(now, record, now, outputs);
        true
    }

    /// Handles a leave reported to this entry. Returns whether to send the record to the siblings.
    pub fn leave(
        &mut self,
        now: Instant,
        id: &TargetId,
        incarnation: Option<Incarnation>,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(known) = self.get(id) else {
            let leave = EarlyLeave { at: now, incarnation };
            self.early_leaves.insert(id.clone(), leave);
            return false;
        };
        let current = known.record.announcement.incarnation;
        if incarnation.is_some_and(|incarnation| incarnation < current) {
            return false;
        }
        if known.record.is_leaving {
            self.renew(id, now, now, outputs);
            return false;
        }
        let mut record = known.record.clone();
        record.is_leaving = true;
        self.insert(now, record, now, outputs);
        true
    }

    /// Merges a record of a sibling. Returns whether the record lacked a leave, and must be sent to the
    /// siblings.
    ///
    /// A sibling that missed a leave may still have the target as present after it was removed here. The
    /// record is then added again as leaving.
    pub fn merge(
        &mut self,
        now: Instant,
        mut record: Record,
        renewed_at: Instant,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let id = record.id().clone();
        let incarnation = record.announcement.incarnation;
        let has_tombstone = self.tombstones.covers(&id, incarnation);
        if has_tombstone && record.is_leaving {
            return false;
        }
        let has_left = has_tombstone || self.has_left_early(&id, incarnation);
        let is_missed_leave = has_left && !record.is_leaving;
        record.is_leaving |= has_left;
        let known = self.get(&id);
        if known.is_some_and(|known| known.record.version() >= record.version()) {
            self.renew(&id, now, renewed_at, outputs);
            return false;
        }
        self.insert(now, record, renewed_at, outputs);
        is_missed_leave
    }

    fn has_left_early(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        let early = self.early_leaves.get(id);
        early.is_some_and(|leave| leave.incarnation.is_none_or(|left| left >= incarnation))
    }

    /// Records a renewal of a target at `renewed_at`.
    pub fn renew(&mut self, id: &TargetId, now: Instant, renewed_at: Instant, outputs: &mut Vec<Output>) {
        let Some(known) = self.buckets[bucket_of(id)].get_mut(id) else {
            return;
        };
        known.last_renewal = known.last_renewal.max(renewed_at);
        if !known.is_suspect || now.since(known.last_renewal) >= CLEAR_SUSPICION_BELOW {
            return;
        }
        known.is_suspect = false;
        if !known.record.is_leaving {
            outputs.push(Output::Present(known.record.announcement.clone()));
        }
    }

    /// Suspects and removes targets by the age of their last renewal. If `is_isolated`, only leaving targets
    /// are removed.
    pub fn expire(&mut self, now: Instant, is_isolated: bool, outputs: &mut Vec<Output>) {
        self.tombstones.expire(now);
        self.early_leaves
            .retain(|_, leave| now.since(leave.at) < EXPIRE_AFTER);
        for bucket in &mut self.buckets {
            for known in bucket.expire(now, is_isolated, outputs) {
                let id = known.record.id().clone();
                if known.record.is_leaving {
                    let incarnation = known.record.announcement.incarnation;
                    self.tombstones.insert(now, id.clone(), incarnation);
                }
                outputs.push(Output::Gone(id));
            }
        }
    }

    /// Limits the age of each last renewal to that of a newly suspected target, so that no target expires
    /// right away.
    pub fn cap_ages(&mut self, now: Instant) {
        for bucket in &mut self.buckets {
            bucket.cap_ages(now);
        }
    }

    /// Stores a record that is newer than the known one, and emits the resulting outputs.
    fn insert(&mut self, now: Instant, record: Record, renewed_at: Instant, outputs: &mut Vec<Output>) {
        let bucket = &mut self.buckets[bucket_of(record.id())];
        let old = bucket.targets().get(record.id());
        let is_new = old.is_none_or(|old| old.record.announcement != record.announcement);
        let incarnation = record.announcement.incarnation;
        let same_incarnation = old.filter(|old| old.record.announcement.incarnation == incarnation);
        let last_renewal = same_incarnation.map_or(renewed_at, |old| renewed_at.max(old.last_renewal));
        if is_new || !record.is_leaving {
            outputs.push(Output::Present(record.announcement.clone()));
        }
        if record.is_leaving {
            outputs.push(Output::Leaving(record.id().clone()));
        }
        let known = KnownTarget {
            record,
            last_renewal,
            is_suspect: false,
        };
        bucket.insert(now, known);
    }
}
