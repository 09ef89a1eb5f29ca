use std::collections::BTreeMap;

use kqr_types::{CellView, InstanceId, Instant, rendezvous_weight};
use serde::{Deserialize, Serialize};

use crate::{Resource, ResourceUnits, ShareClaim, ShareGrant, ShareOptions, ShareReport};

/// Units over all resources by which a holder may be out of balance whatever the part.
const UNBALANCED_UNITS: f64 = 3.0;
/// Part of its units over all resources by which a holder may have too much or too little before its shares of single
/// resources change.
const UNBALANCED_PART: f64 = 0.12;
/// Part of the allowed surplus from which a holder is granted nothing for the sake of rounding.
const ROOM_PART: f64 = 0.5;

/// An input of a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllocatorInput<Id> {
    /// A new epoch is in force: the leases of members of the epoch before have ended.
    View(CellView),
    /// The present resources and all their units, whichever member keeps them.
    Resources(Vec<ResourceUnits<Id>>),
    /// A member, maybe this one, reports.
    Report(ShareReport<Id>),
}

/// An effect of a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocatorOutput<Id> {
    /// The member that the grant is sent to.
    pub to: InstanceId,
    /// The grant.
    pub grant: ShareGrant<Id>,
}

/// Units of a holder over all claimed resources, beyond its exact part.
#[derive(Clone, Copy, Debug)]
struct Balance {
    surplus: f64,
    allowed: f64,
}

#[derive(Clone, Debug)]
struct Lease {
    units: u32,
    demand: u32,
    expires: Instant,
}

/// Leases the units of the resources that this member keeps to the members of its cell, by their demand.
///
/// A unit is granted only while no live lease can cover it: a smaller grant counts when its holder has confirmed it, and
/// a holder that fell silent keeps its units until its lease must have ended by any clock.
#[derive(Clone, Debug)]
pub struct ShareAllocator<Id>
where
    Id: Resource,
{
    own: InstanceId,
    options: ShareOptions,
    view: CellView,
    /// Instant from which units may be granted that no lease of this epoch covers.
    open: Instant,
    resources: BTreeMap<Id, u32>,
    leases: BTreeMap<Id, BTreeMap<InstanceId, Lease>>,
    reported: BTreeMap<InstanceId, u64>,
}

impl<Id> ShareAllocator<Id>
where
    Id: Resource,
{
    /// Creates a keeper that waits for its first epoch.
    pub fn new(own: InstanceId, options: ShareOptions) -> Self {
        Self {
            own,
            options,
            view: CellView::default(),
            open: Instant::MAX,
            resources: BTreeMap::new(),
            leases: BTreeMap::new(),
            reported: BTreeMap::new(),
        }
    }

    /// Handles `input` at `now` and appends the effects to `outputs`.
    pub fn handle(
        &mut self,
        now: Instant,
        input: AllocatorInput<Id>,
        outputs: &mut Vec<AllocatorOutput<Id>>,
    ) {
        match input {
            AllocatorInput::View(view) => self.set_view(now, view),
            AllocatorInput::Resources(units) => self.set_resources(units),
            AllocatorInput::Report(report) => outputs.extend(self.report(now, report)),
        }
    }

    fn set_view(&mut self, now: Instant, view: CellView) {
        if view.epoch <= self.view.epoch && self.open != Instant::MAX {
            return;
        }
        self.view = view;
        self.open = now + self.options.allocator_lease();
        self.leases.clear();
        self.reported.clear();
    }

    fn set_resources(&mut self, units: Vec<ResourceUnits<Id>>) {
        self.resources.clear();
        for item in units {
            self.resources.insert(item.resource, item.units);
        }
        self.leases
            .retain(|resource, _| self.resources.contains_key(resource));
    }

    fn report(&mut self, now: Instant, report: ShareReport<Id>) -> Option<AllocatorOutput<Id>> {
        let is_member = self.view.member(&report.from).is_some();
        let last = self.reported.get(&report.from).copied().unwrap_or(0);
        if report.epoch != self.view.epoch || !is_member || report.number <= last {
            return None;
        }
        self.reported.insert(report.from.clone(), report.number);
        let mut claims = report.claims;
        claims.retain(|claim| self.keeps(&claim.resource));
        for claim in &claims {
            self.renew(now, &report.from, claim);
        }
        if self.reported.len() == self.view.members.len() {
            // Each member has told what it holds, and the leases of those that are no members have ended.
            self.open = self.open.min(now);
        }
        let mut balance = self.balance(&report.from, &claims);
        let mut granted = Vec::with_capacity(claims.len());
        for claim in claims {
            let units = self.grant(now, &report.from, &claim.resource, &mut balance);
            granted.push(ResourceUnits {
                resource: claim.resource,
                units,
            });
        }
        Some(AllocatorOutput {
            to: report.from,
            grant: ShareGrant {
                epoch: report.epoch,
                from: self.own.clone(),
                number: report.number,
                sent: report.sent,
                granted,
            },
        })
    }

    fn keeps(&self, resource: &Id) -> bool {
        let home = self.view.home(&resource.to_string());
        home.is_some_and(|home| home.id == self.own)
    }

    /// Renews the lease of what `holder` holds of one resource.
    fn renew(&mut self, now: Instant, holder: &InstanceId, claim: &ShareClaim<Id>) {
        let total = self.total(&claim.resource);
        let expires = now + self.options.allocator_lease();
        let leases = self.leases.entry(claim.resource.clone()).or_default();
        leases.retain(|id, lease| lease.expires > now && id != holder);
        let others: u32 = leases.values().map(|lease| lease.units).sum();
        let lease = Lease {
            units: claim.held.min(total.saturating_sub(others)),
            demand: claim.demand,
            expires,
        };
        leases.insert(holder.clone(), lease);
    }

    /// Compares the leases of `holder` with its exact part of the claimed resources.
    fn balance(&self, holder: &InstanceId, claims: &[ShareClaim<Id>]) -> Balance {
        let mut surplus = 0.0;
        let mut exact = 0.0;
        for claim in claims {
            let Some(leases) = self.leases.get(&claim.resource) else {
                continue;
            };
            let part = exact_part(self.total(&claim.resource), leases, holder);
            let held = leases.get(holder).map_or(0, |lease| lease.units);
            surplus += f64::from(held) - part;
            exact += part;
        }
        let allowed = (exact * UNBALANCED_PART).max(UNBALANCED_UNITS);
        Balance { surplus, allowed }
    }

    /// Grants units of one resource to `holder` and records the largest number that it may use from now on.
    fn grant(&mut self, now: Instant, holder: &InstanceId, resource: &Id, balance: &mut Balance) -> u32 {
        let total = self.total(resource);
        let Some(leases) = self.leases.get_mut(resource) else {
            return 0;
        };
        let held = leases.get(holder).map_or(0, |lease| lease.units);
        // Before that, members of earlier epochs may hold what is not reported yet.
        if now < self.open {
            return held;
        }
        let sum: u32 = leases.values().map(|lease| lease.units).sum();
        let left = held + total.saturating_sub(sum);
        let units = sticky_part(&resource.to_string(), total, leases, holder, *balance).min(left);
        balance.surplus += f64::from(units) - f64::from(held);
        if let Some(lease) = leases.get_mut(holder) {
            lease.units = units.max(held);
        }
        units
    }

    fn total(&self, resource: &Id) -> u32 {
        self.resources.get(resource).copied().unwrap_or(0)
    }
}

/// Returns the part of `total` units that falls to `holder`, which is left as it is while the exact part is less than
/// one unit away: each unit that moves is of no use for a period. A holder that is out of
/// balance over all resources changes sooner.
fn sticky_part(
    resource: &str,
    total: u32,
    leases: &BTreeMap<InstanceId, Lease>,
    holder: &InstanceId,
    balance: Balance,
) -> u32 {
    let held = leases.get(holder).map_or(0, |lease| lease.units);
    let distance = exact_part(total, leases, holder) - f64::from(held);
    let rounded = fair_part(resource, total, leases, holder);
    if distance.abs() >= 1.0 {
        return rounded;
    }
    if balance.surplus >= balance.allowed && distance < 0.0 {
        return held.saturating_sub(1);
    }
    // A holder that gave up units for its surplus would take the same ones back if its rounded part alone decided.
    let is_room = balance.surplus < balance.allowed * ROOM_PART;
    let is_wanted = rounded > held && is_room || balance.surplus < 0.0 && distance > 0.0;
    held + u32::from(is_wanted)
}

/// Returns the part of `total` units that falls to `holder` by the demands of all holders, before rounding.
fn exact_part(total: u32, leases: &BTreeMap<InstanceId, Lease>, holder: &InstanceId) -> f64 {
    let demand = |lease: &Lease| f64::from(lease.demand.max(1));
    let sum: f64 = leases.values().map(demand).sum();
    leases
        .get(holder)
        .map_or(0.0, |lease| f64::from(total) * demand(lease) / sum)
}

/// Returns the part of `total` units that falls to `holder` by the demands of all holders.
fn fair_part(resource: &str, total: u32, leases: &BTreeMap<InstanceId, Lease>, holder: &InstanceId) -> u32 {
    let demand = |lease: &Lease| f64::from(lease.demand.max(1));
    let sum: f64 = leases.values().map(demand).sum();
    let mut given = 0;
    let mut own = 0;
    let mut rests = Vec::with_capacity(leases.len());
    for (id, lease) in leases {
        let exact = f64::from(total) * demand(lease) / sum;
        let whole = exact as u32;
        given += whole;
        if id == holder {
            own = whole;
        }
        // A draw that differs by resource keeps the rounding from favouring the same holder everywhere.
        let draw = rendezvous_weight(resource, id.as_str(), 1) as f64 / u64::MAX as f64;
        let rest = (exact - f64::from(whole)).max(1e-9);
        rests.push((draw.max(1e-9).ln() / rest, id));
    }
    rests.sort_by(|left, right| right.0.total_cmp(&left.0).then_with(|| left.1.cmp(right.1)));
    rests.truncate(total.saturating_sub(given) as usize);
    own + u32::from(rests.iter().any(|(_, id)| *id == holder))
}
