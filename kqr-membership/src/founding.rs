use kqr_agreement::{Configuration, VoterId};
use kqr_types::Epoch;
use serde::{Deserialize, Serialize};

use crate::WallClock;

/// Identity of a group of voters that was founded together. A cell that lost its quorum for good founds another group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// When it was founded.
    pub founded: WallClock,
    /// Who founded it.
    pub founder: VoterId,
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
