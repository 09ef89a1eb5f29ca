use std::fmt::Display;

use kqr_types::{Epoch, InstanceId, Instant};
use serde::{Deserialize, Serialize};

/// Identifier of a resource whose units are divided among the members of a cell, such as the slots of a
/// target or the tasks per second of a team's quota.
pub trait Resource: Clone + Ord + Display {}

impl<Id> Resource for Id where Id: Clone + Ord + Display {}

/// Number of units of one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceUnits<Id> {
    /// The resource.
    pub resource: Id,
    /// Number of units.
    pub units: u32,
}

/// Units of one resource that a holder claims from its allocator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareClaim<Id> {
    /// The resource.
    pub resource: Id,
    /// Units that are leased to the holder, or still in use there if that is more.
    pub held: u32,
    /// Amount of work, running or waiting at the holder, that could use the resource.
    pub demand: u32,
}

/// Periodic report of a holder to an allocator, sent several times per second. It renews the holder's leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport<Id> {
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// The sender.
    pub from: InstanceId,
    /// Sequence number of the report, echoed by the grant.
    pub number: u64,
    /// Send time by the sender's clock, echoed by the grant and not interpreted by the allocator.
    pub sent: Instant,
    /// Units of all resources that the sender holds and does not use.
    pub free: u32,
    /// One claim for each resource that the receiver allocates.
    pub claims: Vec<ShareClaim<Id>>,
}

/// Answer of an allocator to a report: the units that the holder may use until the lease expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant<Id> {
    /// Epoch of the allocator.
    pub epoch: Epoch,
    /// The allocator.
    pub from: InstanceId,
    /// Sequence number of the answered report.
    pub number: u64,
    /// Send time of the report by the holder's clock.
    pub sent: Instant,
    /// Granted units of each claimed resource.
    pub granted: Vec<ResourceUnits<Id>>,
}
