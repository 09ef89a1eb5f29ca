use serde::{Deserialize, Serialize};

use crate::{Age, Record};

/// A message between the directories of two sibling entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Records that changed at the sender. The sender repeats them until they are acknowledged.
    Delta {
        /// Number of the last change that is included.
        number: u64,
        /// Changed records.
        records: Vec<Record>,
    },
    /// Acknowledges all changes up to a number.
    Ack {
        /// Number of the acknowledged delta.
        number: u64,
    },
    /// Digests and ages of all targets known to the sender, one summary for each bucket.
    Beat(Vec<BucketSummary>),
    /// Requests the records of some buckets.
    Pull {
        /// Indexes of the buckets.
        buckets: Vec<u8>,
    },
    /// Records requested by a pull.
    Pulled(Vec<AgedRecord>),
}

/// Summary of one bucket of targets in a beat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketSummary {
    /// Digest of the records.
    pub digest: u32,
    /// Ages in the order of the target ids, two per byte, the first in the lower bits.
    pub ages: Vec<u8>,
}

/// A record with the age of the last renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedRecord {
    /// Record.
    pub record: Record,
    /// Age of the last renewal known to the sender.
    pub age: Age,
}
