use std::collections::BTreeMap;

use kqr_types::{Instant, TargetId};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Age, AgedRecord, BucketSummary, EXPIRE_AFTER, Output, Record, SUSPECT_AFTER};

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

    /// Suspects targets by the age of their renewals, and removes and returns those that are gone. If `is_cut_off`,
    /// only leaving targets are removed.
    pub fn expire(&mut self, now: Instant, is_cut_off: bool, outputs: &mut Vec<Output>) -> Vec<Known> {
        let mut gone = Vec::new();
        for (id, known) in &mut self.known {
            let age = now.since(known.heard);
            if age >= EXPIRE_AFTER && (known.record.is_leaving || !is_cut_off) {
                gone.push(id.clone());
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
        gone.iter().filter_map(|id| self.remove(now, id)).collect()
    }

    /// Makes no target older than a fresh suspect.
    pub fn reprieve(&mut self, now: Instant) {
        for known in self.known.values_mut() {
            known.heard = known.heard.max(now - SUSPECT_AFTER);
        }
    }

    /// Returns the part of a beat about this bucket.
    pub fn beat(&self, now: Instant) -> BucketSummary {
        let mut ages = vec![0; self.known.len().div_ceil(2)];
        for (position, known) in self.known.values().enumerate() {
            let bits = Age::at(now, known.heard).bits();
            ages[position / 2] |= bits << (4 * (position % 2));
        }
        BucketSummary {
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
