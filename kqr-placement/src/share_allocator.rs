use std::collections::BTreeMap;

use kqr_types::{CellView, InstanceId, Instant, rendezvous_weight};
use serde::{Deserialize, Serialize};

use crate::{Resource, ResourceUnits, ShareClaim, ShareGrant, ShareOptions, ShareReport};

/// Surplus or deficit over all resources, in units, that a holder may have regardless of the size of its
/// share.
const TOLERATED_SURPLUS_UNITS: f64 = 3.0;
/// Fraction of its share over all resources that a holder may have too many or too few units before its
/// shares of single resources change.
const TOLERATED_SURPLUS_FRACTION: f64 = 0.12;
/// Fraction of the tolerated surplus above which a holder's share is no longer rounded up.
const ROUND_UP_SURPLUS_FRACTION: f64 = 0.5;

/// Input of a [`ShareAllocator`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllocatorInput<Id> {
    /// A new epoch is in force, and the epoch leases of the members of the previous one have expired.
    View(CellView),
    /// All current resources with their total units, including those that other members allocate.
    Resources(Vec<ResourceUnits<Id>>),
    /// A member, possibly this one, has sent a report.
    Report(ShareReport<Id>),
}

/// Effect requested by a [`ShareAllocator`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocatorOutput<Id> {
    /// Receiver of the grant.
    pub to: InstanceId,
    /// The grant.
    pub grant: ShareGrant<Id>,
}

/// Difference between the units of a holder and its exact share, summed over all claimed resources.
#[derive(Clone, Copy, Debug)]
struct Balance {
    surplus: f64,
    tolerated_surplus: f64,
}

#[derive(Clone, Debug)]
struct Lease {
    units: u32,
    demand: u32,
    expires: Instant,
}

/// Leases units of resources to the members of a cell in proportion to their demand.
///
/// Each resource is allocated by the member that is its home. A unit is granted only if no live lease can
/// cover it: a reduced grant takes effect once its holder has confirmed it, and the units of a holder that
/// stops reporting are reserved until its lease has expired by any clock.
#[derive(Clone, Debug)]
pub struct ShareAllocator<Id>
where
    Id: Resource,
{
    own_id: InstanceId,
    options: ShareOptions,
    view: CellView,
    /// Instant from which units that are not covered by a lease of this epoch may be granted.
    unleased_from: Instant,
    resources: BTreeMap<Id, u32>,
    leases: BTreeMap<Id, BTreeMap<InstanceId, Lease>>,
    last_reports: BTreeMap<InstanceId, u64>,
}

impl<Id> ShareAllocator<Id>
where
    Id: Resource,
{
    /// Creates an allocator that grants nothing until its first epoch.
    pub fn new(own_id: InstanceId, options: ShareOptions) -> Self {
        Self {
            own_id,
            options,
            view: CellView::default(),
            unleased_from: Instant::MAX,
            resources: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_reports: BTreeMap::new(),
        }
    }

    /// Processes `input` at `now` and appends the effects to `outputs`.
    pub fn handle(
        &mut self,
        now: Instant,
        input: AllocatorInput<Id>,
        outputs: &mut Vec<AllocatorOutput<Id>>,
    ) {
        match input {
            AllocatorInput::View(view) => self.set_view(now, view),
            AllocatorInput::Resources(units) => self.set_resources(units),
            AllocatorInput::Report(report) => outputs.extend(self.handle_report(now, report)),
        }
    }

    fn set_view(&mut self, now: Instant, view: CellView) {
        if view.epoch <= self.view.epoch && self.unleased_from != Instant::MAX {
            return;
        }
        self.view = view;
        self.unleased_from = now + self.options.allocator_lease();
        self.leases.clear();
        self.last_reports.clear();
    }

    fn set_resources(&mut self, units: Vec<ResourceUnits<Id>>) {
        self.resources.clear();
        for item in units {
            self.resources.insert(item.resource, item.units);
        }
        self.leases
            .retain(|resource, _| self.resources.contains_key(resource));
    }

    fn handle_report(&mut self, now: Instant, report: ShareReport<Id>) -> Option<AllocatorOutput<Id>> {
        let is_member = self.view.member(&report.from).is_some();
        let last = self.last_reports.get(&report.from).copied().unwrap_or(0);
        if report.epoch != self.view.epoch || !is_member || report.number <= last {
            return None;
        }
        self.last_reports.insert(report.from.clone(), report.number);
        let mut claims = report.claims;
        claims.retain(|claim| self.is_allocated_here(&claim.resource));
        for claim in &claims {
            self.renew(now, &report.from, claim);
        }
        if self.last_reports.len() == self.view.members.len() {
            // Every member has reported the units it holds, and the leases of former members have expired.
            self.unleased_from = self.unleased_from.min(now);
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
                from: self.own_id.clone(),
                number: report.number,
                sent: report.sent,
                granted,
            },
        })
    }

    fn is_allocated_here(&self, resource: &Id) -> bool {
        let home = self.view.home(&resource.to_string());
        home.is_some_and(|home| home.id == self.own_id)
    }

    /// Renews the lease of `holder` on one resource for the units that it claims to hold.
    fn renew(&mut self, now: Instant, holder: &InstanceId, claim: &ShareClaim<Id>) {
        let total = self.total_units(&claim.resource);
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

    /// Compares the leases of `holder` with its exact share of the claimed resources.
    fn balance(&self, holder: &InstanceId, claims: &[ShareClaim<Id>]) -> Balance {
        let mut surplus = 0.0;
        let mut exact = 0.0;
        for claim in claims {
            let Some(leases) = self.leases.get(&claim.resource) else {
                continue;
            };
            let share = exact_share(self.total_units(&claim.resource), leases, holder);
            let held = leases.get(holder).map_or(0, |lease| lease.units);
            surplus += f64::from(held) - share;
            exact += share;
        }
        let tolerated_surplus = (exact * TOLERATED_SURPLUS_FRACTION).max(TOLERATED_SURPLUS_UNITS);
        Balance {
            surplus,
            tolerated_surplus,
        }
    }

    /// Grants units of one resource to `holder` and records the maximum number of units that it may use from
    /// now on.
    fn grant(&mut self, now: Instant, holder: &InstanceId, resource: &Id, balance: &mut Balance) -> u32 {
        let total = self.total_units(resource);
        let Some(leases) = self.leases.get_mut(resource) else {
            return 0;
        };
        let held = leases.get(holder).map_or(0, |lease| lease.units);
        // Until then, members of earlier epochs may hold units that have not been reported yet.
        if now < self.unleased_from {
            return held;
        }
        let sum: u32 = leases.values().map(|lease| lease.units).sum();
        let available = held + total.saturating_sub(sum);
        let units = stable_share(&resource.to_string(), total, leases, holder, *balance).min(available);
        balance.surplus += f64::from(units) - f64::from(held);
        if let Some(lease) = leases.get_mut(holder) {
            lease.units = units.max(held);
        }
        units
    }

    fn total_units(&self, resource: &Id) -> u32 {
        self.resources.get(resource).copied().unwrap_or(0)
    }
}

/// Returns the share of `total` units for `holder`, with hysteresis.
///
/// A unit that moves between holders is unusable for one report period. The share therefore stays as it is
/// while it is less than one unit from the exact share, unless the holder is out of balance over all
/// resources.
fn stable_share(
    resource: &str,
    total: u32,
    leases: &BTreeMap<InstanceId, Lease>,
    holder: &InstanceId,
    balance: Balance,
) -> u32 {
    let held = leases.get(holder).map_or(0, |lease| lease.units);
    let distance = exact_share(total, leases, holder) - f64::from(held);
    let rounded = rounded_share(resource, total, leases, holder);
    if distance.abs() >= 1.0 {
        return rounded;
    }
    if balance.surplus >= balance.tolerated_surplus && distance < 0.0 {
        return held.saturating_sub(1);
    }
    // If the rounded share alone decided, a holder that gave up units because of its surplus would reclaim
    // them.
    let may_round_up = balance.surplus < balance.tolerated_surplus * ROUND_UP_SURPLUS_FRACTION;
    let needs_unit = rounded > held && may_round_up || balance.surplus < 0.0 && distance > 0.0;
    held + u32::from(needs_unit)
}

/// Returns the share of `total` units for `holder` in proportion to the demands of all holders, before
/// rounding.
fn exact_share(total: u32, leases: &BTreeMap<InstanceId, Lease>, holder: &InstanceId) -> f64 {
    let demand = |lease: &Lease| f64::from(lease.demand.max(1));
    let sum: f64 = leases.values().map(demand).sum();
    leases
        .get(holder)
        .map_or(0.0, |lease| f64::from(total) * demand(lease) / sum)
}

/// Returns the share of `total` units for `holder` in proportion to the demands of all holders, in whole
/// units.
fn rounded_share(
    resource: &str,
    total: u32,
    leases: &BTreeMap<InstanceId, Lease>,
    holder: &InstanceId,
) -> u32 {
    let demand = |lease: &Lease| f64::from(lease.demand.max(1));
    let sum: f64 = leases.values().map(demand).sum();
    let mut assigned = 0;
    let mut own_units = 0;
    let mut remainders = Vec::with_capacity(leases.len());
    for (id, lease) in leases {
        let exact = f64::from(total) * demand(lease) / sum;
        let whole = exact as u32;
        assigned += whole;
        if id == holder {
            own_units = whole;
        }
        // The pseudo-random draw depends on the resource, so that rounding does not favour the same holder
        // everywhere.
        let draw = rendezvous_weight(resource, id.as_str(), 1) as f64 / u64::MAX as f64;
        let remainder = (exact - f64::from(whole)).max(1e-9);
        remainders.push((draw.max(1e-9).ln() / remainder, id));
    }
    remainders.sort_by(|left, right| right.0.total_cmp(&left.0).then_with(|| left.1.cmp(right.1)));
    remainders.truncate(total.saturating_sub(assigned) as usize);
    own_units + u32::from(remainders.iter().any(|(_, id)| *id == holder))
}
