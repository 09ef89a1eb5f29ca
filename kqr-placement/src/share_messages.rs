use std::fmt::Display;

use kqr_types::{Epoch, InstanceId, Instant};
use serde::{Deserialize, Serialize};

/// Something with countable units that is shared out among the members of a cell: the slots of a target, or the tasks
/// a second of a team's quota.
pub trait Resource: Clone + Ord + Display {}

impl<Id> Resource for Id where Id: Clone + Ord + Display {}

/// A number of units of one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceUnits<Id> {
    /// The resource.
    pub resource: Id,
    /// Number of units.
    pub units: u32,
}

/// What a holder tells a keeper of one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareClaim<Id> {
    /// The resource.
    pub resource: Id,
    /// Units that the holder holds or still uses.
    pub held: u32,
    /// Work that runs or waits at the holder and could use the resource.
    pub demand: u32,
}

/// What a holder tells a keeper, several times a second. It also renews the leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport<Id> {
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// The sender.
    pub from: InstanceId,
    /// Number of the report; grants repeat it.
    pub number: u64,
    /// Reading of the sender's clock, repeated by the grant and of no meaning to the keeper.
    pub sent: Instant,
    /// Units of all resources that the sender holds and doesn't use.
    pub free: u32,
    /// One claim for each resource that the receiver keeps.
    pub claims: Vec<ShareClaim<Id>>,
}

/// A keeper's answer to a report: the units that the holder may use until the lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant<Id> {
    /// Epoch of the keeper.
    pub epoch: Epoch,
    /// The keeper.
    pub from: InstanceId,
    /// Number of the report that is answered.
    pub number: u64,
    /// Reading of the holder's clock from the report.
    pub sent: Instant,
    /// Granted units of each resource of the report.
    pub granted: Vec<ResourceUnits<Id>>,
}
