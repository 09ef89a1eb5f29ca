use std::collections::BTreeMap;

use kqr_types::{Instant, TargetId};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Age, AgedRecord, BucketBeat, Record};

/// Number of buckets that the targets are divided into.
pub const BUCKETS: usize = 32;

/// Returns the number of the bucket of a target.
pub fn bucket_of(id: &TargetId) -> usize {
    xxh3_64(id.as_str().as_bytes()) as usize % BUCKETS
}

/// A target as this entry knows it.
#[derive(Clone, Debug)]
pub struct Known {
    /// Shared record.
    pub record: Record,
    /// Latest renewal that this entry knows of.
    pub heard: Instant,
    /// Whether the target missed renewals.
    pub is_suspect: bool,
}

/// A part of the targets, compared with siblings by one digest.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    known: BTreeMap<TargetId, Known>,
    digest: u32,
    changed: Instant,
}

impl Bucket {
    /// Returns the digest of the records.
    pub const fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns when a record last changed.
    pub const fn changed(&self) -> Instant {
        self.changed
    }

    /// Returns the targets in the order of their ids.
    pub const fn known(&self) -> &BTreeMap<TargetId, Known> {
        &self.known
    }

    /// Returns a target for a change of what is not part of the digest.
    pub fn get_mut(&mut self, id: &TargetId) -> Option<&mut Known> {
        self.known.get_mut(id)
    }

    /// Returns all targets for a change of what is not part of the digest.
    pub fn known_mut(&mut self) -> impl Iterator<Item = &mut Known> {
        self.known.values_mut()
    }

    /// Adds or replaces a target.
    pub fn put(&mut self, now: Instant, known: Known) {
        self.remove(now, &known.record.id().clone());
        self.digest ^= known.record.digest();
        self.known.insert(known.record.id().clone(), known);
    }

    /// Removes a target.
    pub fn remove(&mut self, now: Instant, id: &TargetId) -> Option<Known> {
        self.changed = now;
        let known = self.known.remove(id)?;
        self.digest ^= known.record.digest();
        Some(known)
    }

    /// Returns the part of a beat about this bucket.
    pub fn beat(&self, now: Instant) -> BucketBeat {
        let mut ages = vec![0; self.known.len().div_ceil(2)];
        for (position, known) in self.known.values().enumerate() {
            let bits = Age::at(now, known.heard).bits();
            ages[position / 2] |= bits << (4 * (position % 2));
        }
        BucketBeat {
            digest: self.digest,
            ages,
        }
    }

    /// Returns the records with their ages.
    pub fn aged(&self, now: Instant) -> impl Iterator<Item = AgedRecord> {
        self.known.values().map(move |known| AgedRecord {
            record: known.record.clone(),
            age: Age::at(now, known.heard),
        })
    }
}
