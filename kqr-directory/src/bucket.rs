use std::collections::BTreeMap;

use kqr_types::{Instant, TargetId};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Age, AgedRecord, BucketSummary, EXPIRE_AFTER, Output, Record, SUSPECT_AFTER};

/// Number of buckets into which the targets are divided.
pub const BUCKET_COUNT: usize = 32;

/// Returns the index of the bucket of a target.
pub fn bucket_of(id: &TargetId) -> usize {
    xxh3_64(id.as_str().as_bytes()) as usize % BUCKET_COUNT
}

/// A target known to this entry.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// Record shared with the siblings.
    pub record: Record,
    /// Time of the latest renewal known to this entry.
    pub last_renewal: Instant,
    /// Whether the target is suspected because it missed renewals.
    pub is_suspect: bool,
}

/// A subset of the targets that is compared with those of siblings by one digest.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    targets: BTreeMap<TargetId, KnownTarget>,
    digest: u32,
    changed: Instant,
}

impl Bucket {
    /// Returns the digest of the records.
    pub const fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns when the set of records last changed.
    pub const fn changed(&self) -> Instant {
        self.changed
    }

    /// Returns the targets, ordered by id.
    pub const fn targets(&self) -> &BTreeMap<TargetId, KnownTarget> {
        &self.targets
    }

    /// Returns a target for modification. Its record must not be changed, since the digest covers it.
    pub fn get_mut(&mut self, id: &TargetId) -> Option<&mut KnownTarget> {
        self.targets.get_mut(id)
    }

    /// Adds or replaces a target.
    pub fn insert(&mut self, now: Instant, known: KnownTarget) {
        self.remove(now, &known.record.id().clone());
        self.digest ^= known.record.digest();
        self.targets.insert(known.record.id().clone(), known);
    }

    /// Removes a target.
    pub fn remove(&mut self, now: Instant, id: &TargetId) -> Option<KnownTarget> {
        self.changed = now;
        let known = self.targets.remove(id)?;
        self.digest ^= known.record.digest();
        Some(known)
    }

    /// Suspects targets by the age of their last renewal, and removes and returns the expired ones. If
    /// `is_isolated`, only leaving targets expire.
    pub fn expire(&mut self, now: Instant, is_isolated: bool, outputs: &mut Vec<Output>) -> Vec<KnownTarget> {
        let mut expired = Vec::new();
        for (id, known) in &mut self.targets {
            let age = now.since(known.last_renewal);
            if age >= EXPIRE_AFTER && (known.record.is_leaving || !is_isolated) {
                expired.push(id.clone());
                continue;
            }
            if age < SUSPECT_AFTER || known.is_suspect {
                continue;
            }
            known.is_suspect = true;
            if !known.record.is_leaving {
                outputs.push(Output::Suspect(id.clone()));
            }
        }
        expired.iter().filter_map(|id| self.remove(now, id)).collect()
    }

    /// Limits the age of each last renewal to [`SUSPECT_AFTER`], so that no target expires right away.
    pub fn cap_ages(&mut self, now: Instant) {
        for known in self.targets.values_mut() {
            known.last_renewal = known.last_renewal.max(now - SUSPECT_AFTER);
        }
    }

    /// Returns the digest and ages of this bucket for a beat.
    pub fn summary(&self, now: Instant) -> BucketSummary {
        let mut ages = vec![0; self.targets.len().div_ceil(2)];
        for (position, known) in self.targets.values().enumerate() {
            let bits = Age::at(now, known.last_renewal).bits();
            ages[position / 2] |= bits << (4 * (position % 2));
        }
        BucketSummary {
            digest: self.digest,
            ages,
        }
    }

    /// Returns the records with the ages of their last renewals.
    pub fn aged_records(&self, now: Instant) -> impl Iterator<Item = AgedRecord> {
        self.targets.values().map(move |known| AgedRecord {
            record: known.record.clone(),
            age: Age::at(now, known.last_renewal),
        })
    }
}
