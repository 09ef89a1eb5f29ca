use kqr_agreement::{Configuration, VoterId};
use kqr_types::Epoch;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::WallClock;

/// Identity of a group of voters that were bootstrapped together. A cell that has lost its quorum for good
/// founds a new group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// Time of the founding.
    pub founded: WallClock,
    /// Voter that founded the group.
    pub founder: VoterId,
}

/// Digest of a [`GroupId`], short enough to be part of each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupDigest(pub u64);

impl GroupId {
    /// Computes the digest.
    pub fn digest(&self) -> GroupDigest {
        let text = format!("{} {}", self.founded, self.founder);
        GroupDigest(xxh3_64(text.as_bytes()))
    }
}

/// Initial state of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Founding {
    /// Identity.
    pub id: GroupId,
    /// Initial voters: all configured ones. A voter that was not reachable for the founder has storage
    /// incarnation zero.
    pub configuration: Configuration,
    /// First epoch, higher than any epoch known to the founders.
    pub first_epoch: Epoch,
}
