use std::collections::BTreeMap;

use kqr_placement::Announcement;
use kqr_types::{Incarnation, Instant, TargetId};

use crate::{
    CLEAR_SUSPICION_BELOW, EXPIRE_AFTER, Output, Record,
    bucket::{BUCKETS, Bucket, Known, bucket_of},
    tombstones::Tombstones,
};

/// A leave of a target that was not known here when it was told.
#[derive(Clone, Copy, Debug)]
struct EarlyLeave {
    at: Instant,
    incarnation: Option<Incarnation>,
}

/// The targets that an entry knows, without what is needed to spread them.
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
            buckets: vec![Bucket::default(); BUCKETS],
            tombstones: Tombstones::default(),
            early_leaves: BTreeMap::new(),
        }
    }

    /// Returns the buckets.
    pub fn buckets(&self) -> &[Bucket] {
        &self.buckets
    }

    /// Returns a target.
    pub fn get(&self, id: &TargetId) -> Option<&Known> {
        self.buckets[bucket_of(id)].known().get(id)
    }

    /// Takes in an announcement made at this entry. Returns whether the siblings have to learn of it.
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
        self.put(now, record, now, outputs);
        true
    }

    /// Takes in a leave told to this entry. Returns whether the siblings have to learn of it.
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
        let present = known.record.announcement.incarnation;
        if incarnation.is_some_and(|incarnation| incarnation < present) {
            return false;
        }
        if known.record.is_leaving {
            self.renew(id, now, now, outputs);
            return false;
        }
        let mut record = known.record.clone();
        record.is_leaving = true;
        self.put(now, record, now, outputs);
        true
    }

    /// Takes in a record of a sibling. Returns whether the siblings have to learn of a leave that it lacked.
    ///
    /// A sibling that missed a leave may still hold the target as present after it is gone here: the record then comes
    /// back as one that leaves.
    pub fn merge(
        &mut self,
        now: Instant,
        mut record: Record,
        heard: Instant,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let id = record.id().clone();
        let incarnation = record.announcement.incarnation;
        let is_ended = self.tombstones.covers(&id, incarnation);
        if is_ended && record.is_leaving {
            return false;
        }
        let is_left = is_ended || self.has_left_early(&id, incarnation);
        let is_leave_missed = is_left && !record.is_leaving;
        record.is_leaving |= is_left;
        let known = self.get(&id);
        if known.is_some_and(|known| known.record.version() >= record.version()) {
            self.renew(&id, now, heard, outputs);
            return false;
        }
        self.put(now, record, heard, outputs);
        is_leave_missed
    }

    fn has_left_early(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        let early = self.early_leaves.get(id);
        early.is_some_and(|leave| leave.incarnation.is_none_or(|left| left >= incarnation))
    }

    /// Notes a renewal of a target at `heard`.
    pub fn renew(&mut self, id: &TargetId, now: Instant, heard: Instant, outputs: &mut Vec<Output>) {
        let Some(known) = self.buckets[bucket_of(id)].get_mut(id) else {
            return;
        };
        known.heard = known.heard.max(heard);
        if !known.is_suspect || now.since(known.heard) >= CLEAR_SUSPICION_BELOW {
            return;
        }
        known.is_suspect = false;
        if !known.record.is_leaving {
            outputs.push(Output::Present(known.record.announcement.clone()));
        }
    }

    /// Suspects and removes targets by the age of their renewals. If `is_cut_off`, only leaving targets are removed.
    pub fn expire(&mut self, now: Instant, is_cut_off: bool, outputs: &mut Vec<Output>) {
        self.tombstones.expire(now);
        self.early_leaves
            .retain(|_, leave| now.since(leave.at) < EXPIRE_AFTER);
        for bucket in &mut self.buckets {
            for known in bucket.expire(now, is_cut_off, outputs) {
                let id = known.record.id().clone();
                if known.record.is_leaving {
                    let incarnation = known.record.announcement.incarnation;
                    self.tombstones.insert(now, id.clone(), incarnation);
                }
                outputs.push(Output::Gone(id));
            }
        }
    }

    /// Gives each target the time of a suspect to be heard of again.
    pub fn reprieve(&mut self, now: Instant) {
        for bucket in &mut self.buckets {
            bucket.reprieve(now);
        }
    }

    /// Stores a record that is newer than the known one and reports it.
    fn put(&mut self, now: Instant, record: Record, heard: Instant, outputs: &mut Vec<Output>) {
        let bucket = &mut self.buckets[bucket_of(record.id())];
        let old = bucket.known().get(record.id());
        let is_new = old.is_none_or(|old| old.record.announcement != record.announcement);
        let incarnation = record.announcement.incarnation;
        let same_life = old.filter(|old| old.record.announcement.incarnation == incarnation);
        let heard = same_life.map_or(heard, |old| heard.max(old.heard));
        if is_new || !record.is_leaving {
            outputs.push(Output::Present(record.announcement.clone()));
        }
        if record.is_leaving {
            outputs.push(Output::Leaving(record.id().clone()));
        }
        let known = Known {
            record,
            heard,
            is_suspect: false,
        };
        bucket.put(now, known);
    }
}
