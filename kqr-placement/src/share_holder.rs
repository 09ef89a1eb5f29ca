use std::collections::BTreeMap;

use kqr_types::{CellView, InstanceId, Instant};
use serde::{Deserialize, Serialize};

use crate::{Resource, ResourceUnits, ShareClaim, ShareGrant, ShareOptions, ShareReport};

/// The present use of one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceUsage<Id> {
    /// The resource.
    pub resource: Id,
    /// Units in use.
    pub used: u32,
    /// Work that runs or waits here and could use the resource.
    pub demand: u32,
}

/// The present use of the resources, handed in once a period.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareUsage<Id> {
    /// Units that are held and not used.
    pub free: u32,
    /// Use of each known resource.
    pub uses: Vec<ResourceUsage<Id>>,
    /// Instant at which the lease of this member's epoch ends.
    pub epoch_lease: Instant,
}

/// An input of a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderInput<Id> {
    /// A new epoch is in force.
    View(CellView),
    /// A period has passed.
    Tick(ShareUsage<Id>),
    /// A keeper, maybe this member, answers a report.
    Grant(ShareGrant<Id>),
}

/// An effect of a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderOutput<Id> {
    /// A report goes to a member, maybe to this one.
    Report {
        /// The member.
        to: InstanceId,
        /// The report.
        report: ShareReport<Id>,
    },
    /// From now on this many units of the resource may be used. Units in use beyond it are used up and not renewed.
    Limit(ResourceUnits<Id>),
}

#[derive(Clone, Debug)]
struct Held {
    units: u32,
    expires: Instant,
}

/// Holds leased units of resources for this member and renews them.
#[derive(Clone, Debug)]
pub struct ShareHolder<Id>
where
    Id: Resource,
{
    own: InstanceId,
    options: ShareOptions,
    view: CellView,
    number: u64,
    epoch_lease: Instant,
    held: BTreeMap<Id, Held>,
    keepers: BTreeMap<Id, InstanceId>,
}

impl<Id> ShareHolder<Id>
where
    Id: Resource,
{
    /// Creates a holder without leases.
    pub fn new(own: InstanceId, options: ShareOptions) -> Self {
        Self {
            own,
            options,
            view: CellView::default(),
            number: 0,
            epoch_lease: Instant(0),
            held: BTreeMap::new(),
            keepers: BTreeMap::new(),
        }
    }

    /// Handles `input` at `now` and appends the effects to `outputs`.
    pub fn handle(&mut self, now: Instant, input: HolderInput<Id>, outputs: &mut Vec<HolderOutput<Id>>) {
        match input {
            HolderInput::View(view) => {
                if view.epoch > self.view.epoch || self.view.members.is_empty() {
                    self.view = view;
                    self.keepers.clear();
                }
            }
            HolderInput::Tick(usage) => self.tick(now, usage, outputs),
            HolderInput::Grant(grant) => self.granted(now, grant, outputs),
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
        self.expire(now, outputs);
        if self.epoch_lease <= now {
            return;
        }
        self.number += 1;
        let mut reports: BTreeMap<InstanceId, ShareReport<Id>> = BTreeMap::new();
        for member in &self.view.members {
            let report = ShareReport {
                epoch: self.view.epoch,
                from: self.own.clone(),
                number: self.number,
                sent: now,
                free: usage.free,
                claims: Vec::new(),
            };
            reports.insert(member.id.clone(), report);
        }
        for item in usage.uses {
            let Some(keeper) = self.keeper(&item.resource) else {
                continue;
            };
            let Some(report) = reports.get_mut(&keeper) else {
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

    /// Ends leases that would end before the next tick.
    fn expire(&mut self, now: Instant, outputs: &mut Vec<HolderOutput<Id>>) {
        let horizon = now + self.options.period;
        let is_epoch_over = self.epoch_lease <= horizon;
        self.held.retain(|resource, held| {
            let is_live = held.expires > horizon && !is_epoch_over;
            if !is_live {
                let resource = resource.clone();
                outputs.push(HolderOutput::Limit(ResourceUnits { resource, units: 0 }));
            }
            is_live
        });
    }

    fn granted(&mut self, now: Instant, grant: ShareGrant<Id>, outputs: &mut Vec<HolderOutput<Id>>) {
        // A grant that answers an older report may be larger than what the newer one has confirmed.
        if grant.epoch != self.view.epoch || grant.number != self.number {
            return;
        }
        let expires = grant.sent + self.options.lease;
        if expires <= now || self.epoch_lease <= now {
            return;
        }
        for item in grant.granted {
            let units = item.units;
            let known = self.held.insert(item.resource.clone(), Held { units, expires });
            if known.is_none_or(|known| known.units != units) {
                outputs.push(HolderOutput::Limit(item));
            }
        }
    }

    fn keeper(&mut self, resource: &Id) -> Option<InstanceId> {
        if let Some(keeper) = self.keepers.get(resource) {
            return Some(keeper.clone());
        }
        let keeper = self.view.home(&resource.to_string())?.id.clone();
        self.keepers.insert(resource.clone(), keeper.clone());
        Some(keeper)
    }
}
