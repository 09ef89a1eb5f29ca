use serde::{Deserialize, Serialize};

use crate::{Age, Record};

/// A message between the directories of two sibling entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Records that changed at the sender. Repeated until acknowledged.
    Delta {
        /// Number of the last change included.
        number: u64,
        /// Changed records.
        records: Vec<Record>,
    },
    /// All changes up to a number arrived.
    Ack {
        /// Number of the delta.
        number: u64,
    },
    /// Digests and ages of all that the sender knows, one part for each bucket of targets.
    Beat(Vec<BucketSummary>),
    /// Asks for the records of buckets.
    Pull {
        /// Numbers of the buckets.
        buckets: Vec<u8>,
    },
    /// Answers a pull.
    Pulled(Vec<AgedRecord>),
}

/// The part of a beat about one bucket of targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketSummary {
    /// Digest of the records.
    pub digest: u32,
    /// Ages in the order of the target ids, two in each byte, the first in the lower bits.
    pub ages: Vec<u8>,
}

/// A record with the age of the last renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedRecord {
    /// Record.
    pub record: Record,
    /// Age of the last renewal that the sender knows of.
    pub age: Age,
}
