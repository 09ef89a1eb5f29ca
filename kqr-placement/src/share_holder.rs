use std::collections::BTreeMap;

use kqr_types::{CellView, InstanceId, Instant};
use serde::{Deserialize, Serialize};

use crate::{Resource, ResourceUnits, ShareClaim, ShareGrant, ShareOptions, ShareReport};

/// Current usage of one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceUsage<Id> {
    /// The resource.
    pub resource: Id,
    /// Units in use.
    pub used: u32,
    /// Amount of work, running or waiting at this member, that could use the resource.
    pub demand: u32,
}

/// Current usage of all resources, provided once per report period.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareUsage<Id> {
    /// Units that are held and unused.
    pub free: u32,
    /// Usage of each known resource.
    pub uses: Vec<ResourceUsage<Id>>,
    /// Instant at which this member's lease on its epoch expires.
    pub epoch_lease: Instant,
}

/// Input of a [`ShareHolder`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderInput<Id> {
    /// A new epoch is in force, with this view of the cell.
    View(CellView),
    /// A report period has passed.
    Tick(ShareUsage<Id>),
    /// An allocator, possibly that of this member, has answered a report.
    Grant(ShareGrant<Id>),
}

/// Effect requested by a [`ShareHolder`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderOutput<Id> {
    /// Sends a report to a member, possibly to this one.
    Report {
        /// The receiver.
        to: InstanceId,
        /// The report.
        report: ShareReport<Id>,
    },
    /// Sets the number of units of a resource that may be used. Units in use above the limit stay in use
    /// until they are released.
    Limit(ResourceUnits<Id>),
}

#[derive(Clone, Debug)]
struct HeldLease {
    units: u32,
    expires: Instant,
}

/// Holds the units of resources that are leased to this member and renews the leases.
#[derive(Clone, Debug)]
pub struct ShareHolder<Id>
where
    Id: Resource,
{
    own_id: InstanceId,
    options: ShareOptions,
    view: CellView,
    report_number: u64,
    epoch_lease: Instant,
    held: BTreeMap<Id, HeldLease>,
    allocators: BTreeMap<Id, InstanceId>,
}

impl<Id> ShareHolder<Id>
where
    Id: Resource,
{
    /// Creates a holder without leases.
    pub fn new(own_id: InstanceId, options: ShareOptions) -> Self {
        Self {
            own_id,
            options,
            view: CellView::default(),
            report_number: 0,
            epoch_lease: Instant(0),
            held: BTreeMap::new(),
            allocators: BTreeMap::new(),
        }
    }

    /// Processes `input` at `now` and appends the effects to `outputs`.
    pub fn handle(&mut self, now: Instant, input: HolderInput<Id>, outputs: &mut Vec<HolderOutput<Id>>) {
        match input {
            HolderInput::View(view) => {
                if view.epoch > self.view.epoch || self.view.members.is_empty() {
                    self.view = view;
                    self.allocators.clear();
                }
            }
            HolderInput::Tick(usage) => self.tick(now, usage, outputs),
            HolderInput::Grant(grant) => self.apply_grant(now, grant, outputs),
        }
    }

    /// Returns the units of a resource that may be used at `now`.
    pub fn limit(&self, now: Instant, resource: &Id) -> u32 {
        let held = self
            .held
            .get(resource)
            .filter(|held| held.expires > now && self.epoch_lease > now);
        held.map_or(0, |held| held.units)
    }

    fn tick(&mut self, now: Instant, usage: ShareUsage<Id>, outputs: &mut Vec<HolderOutput<Id>>) {
        self.epoch_lease = usage.epoch_lease;
        self.expire_leases(now, outputs);
        if self.epoch_lease <= now {
            return;
        }
        self.report_number += 1;
        let mut reports: BTreeMap<InstanceId, ShareReport<Id>> = BTreeMap::new();
        for member in &self.view.members {
            let report = ShareReport {
                epoch: self.view.epoch,
                from: self.own_id.clone(),
                number: self.report_number,
                sent: now,
                free: usage.free,
                claims: Vec::new(),
            };
            reports.insert(member.id.clone(), report);
        }
        for item in usage.uses {
            let Some(allocator) = self.allocator_of(&item.resource) else {
                continue;
            };
            let Some(report) = reports.get_mut(&allocator) else {
                continue;
            };
            let claim = ShareClaim {
                held: self.limit(now, &item.resource).max(item.used),
                resource: item.resource,
                demand: item.demand,
            };
            report.claims.push(claim);
        }
        for (to, report) in reports {
            outputs.push(HolderOutput::Report { to, report });
        }
    }

    /// Drops leases that would expire before the next tick.
    fn expire_leases(&mut self, now: Instant, outputs: &mut Vec<HolderOutput<Id>>) {
        let horizon = now + self.options.period;
        let is_epoch_expired = self.epoch_lease <= horizon;
        self.held.retain(|resource, held| {
            let is_live = held.expires > horizon && !is_epoch_expired;
            if !is_live {
                let resource = resource.clone();
                outputs.push(HolderOutput::Limit(ResourceUnits { resource, units: 0 }));
            }
            is_live
        });
    }

    fn apply_grant(&mut self, now: Instant, grant: ShareGrant<Id>, outputs: &mut Vec<HolderOutput<Id>>) {
        // A grant for an older report may exceed what a newer report has already confirmed to the allocator.
        if grant.epoch != self.view.epoch || grant.number != self.report_number {
            return;
        }
        let expires = grant.sent + self.options.lease;
        if expires <= now || self.epoch_lease <= now {
            return;
        }
        for item in grant.granted {
            let units = item.units;
            let previous = self
                .held
                .insert(item.resource.clone(), HeldLease { units, expires });
            if previous.is_none_or(|previous| previous.units != units) {
                outputs.push(HolderOutput::Limit(item));
            }
        }
    }

    fn allocator_of(&mut self, resource: &Id) -> Option<InstanceId> {
        if let Some(allocator) = self.allocators.get(resource) {
            return Some(allocator.clone());
        }
        let allocator = self.view.home(&resource.to_string())?.id.clone();
        self.allocators.insert(resource.clone(), allocator.clone());
        Some(allocator)
    }
}
