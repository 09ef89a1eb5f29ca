use kqr_agreement::{Configuration, VoterId};
use kqr_types::Epoch;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::WallClock;

/// Identity of a group of voters that was founded together. A cell that lost its quorum for good founds another group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// When it was founded.
    pub founded: WallClock,
    /// Who founded it.
    pub founder: VoterId,
}

/// Digest of a [`GroupId`], short enough for each message.
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

/// How a group began.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Founding {
    /// Identity.
    pub id: GroupId,
    /// Voters: all configured ones, those that were not heard with storage incarnation zero.
    pub configuration: Configuration,
    /// First epoch, higher than any that the founders know of.
    pub first_epoch: Epoch,
}
