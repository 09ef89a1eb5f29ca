//! Free capacity for orders that wait at other owners.

use std::time::Duration;

use kqr_fleet::Resources;
use kqr_types::{InstanceId, Instant};

use super::{Owners, free_index::FreeKey, hash_of, owner_load::OwnerLoad, placement::may_run};
use crate::{
    OrderId, RunOrder, TargetLoad,
    jobs::FreePlace,
    load_report::RANKS,
    suitability::{on_time_budget, on_time_fraction},
};

/// Period in which a free target is offered to the same few coordinators; about the interval of load reports.
const TURN_PERIOD_US: u64 = 100_000;
/// Expected number of coordinators that may take back orders for a free target at the same time. All coordinators see the same
/// target, and orders that find it taken have only changed the queue.
const COORDINATORS_PER_TURN: u64 = 3;

/// Numbers of coordinators among which the free targets are distributed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Turns {
    /// Coordinators of the own data centre, including this one.
    pub(crate) near: u64,
    /// All coordinators.
    pub(crate) all: u64,
}

/// The queue of an owner, as seen by an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Queue {
    /// Expected wait by the queued work.
    pub(crate) wait: Duration,
    /// Mean ratio of run time to estimate on the targets that may run the order.
    pub(crate) slowness: f32,
}

/// Free place of a target that was found for an order.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SparePlace {
    pub(crate) owner: InstanceId,
    number: u32,
    position: u32,
    needs: Resources,
}

/// Free capacity of all owners, less the places already found for other orders.
#[derive(Debug)]
pub(crate) struct SpareCapacity<'a> {
    owners: &'a Owners,
    found: Vec<SparePlace>,
    period: u64,
    turns: Turns,
}

impl Owners {
    /// Returns whether the known load of the owner includes the order, so that a start would be known as well.
    pub(crate) fn includes_order(&self, owner: &InstanceId, order: OrderId) -> bool {
        let known = self.loads.get(owner);
        known.is_some_and(|known| known.is_own() || known.last_order >= order)
    }
}

impl<'a> SpareCapacity<'a> {
    pub(crate) const fn new(owners: &'a Owners, now: Instant, turns: Turns) -> Self {
        Self {
            owners,
            found: Vec::new(),
            period: now.0 / TURN_PERIOD_US,
            turns,
        }
    }

    /// Returns what an order has to expect in the queue of an owner, or `None` if no target there may run it.
    pub(crate) fn queue_of(&self, owner: &InstanceId, order: &RunOrder) -> Option<Queue> {
        let known = self.owners.loads.get(owner)?;
        let cpu = known.service_cpu_milli(&order.service);
        let (mut count, mut sum) = (0_u32, 0.0);
        for target in known.targets.iter().filter(|target| may_run(target, order)) {
            count += 1;
            sum += target.slowness;
        }
        if count == 0 || cpu == 0 {
            return None;
        }
        let rank = (order.priority as usize).min(RANKS - 1);
        Some(Queue {
            wait: Duration::from_millis(known.queued_work(rank).saturating_mul(1000) / cpu),
            slowness: sum / count as f32,
        })
    }

    /// Finds a free target of another owner than `from` for which `pays` holds, and deducts the order from it for the rest of
    /// this pass. An order that names a rack is moved only to a target there.
    pub(crate) fn reserve<Pays>(
        &mut self,
        order: &RunOrder,
        from: &InstanceId,
        pays: Pays,
    ) -> Option<SparePlace>
    where
        Pays: Fn(FreePlace) -> bool,
    {
        let index = self.owners.free.get(&order.service)?;
        let budget = on_time_budget(order, Duration::ZERO) * on_time_fraction(index.utilisation());
        let max_slowness = budget / order.estimate.as_secs_f32().max(f32::MIN_POSITIVE);
        let cpu = order.needs.cpu_milli;
        let accept = |key: &FreeKey| self.is_suitable(key, order, from, &pays);
        let found = index
            .slowest_below(false, max_slowness, cpu, accept)
            .or_else(|| index.slowest_below(true, max_slowness, cpu, accept))
            .or_else(|| index.fastest(cpu, accept))?;
        let place = SparePlace {
            owner: self.owners.numbers.get(&found.owner)?.clone(),
            number: found.owner,
            position: found.position,
            needs: order.needs,
        };
        self.found.push(place.clone());
        Some(place)
    }

    fn is_suitable<Pays>(&self, key: &FreeKey, order: &RunOrder, from: &InstanceId, pays: &Pays) -> bool
    where
        Pays: Fn(FreePlace) -> bool,
    {
        if self.owners.numbers.get(&key.owner) == Some(from) || !self.has_turn(key) {
            return false;
        }
        let Some(target) = self.owners.target_at(key) else {
            return false;
        };
        let place = FreePlace {
            is_near: !key.is_far,
            slowness: target.slowness,
        };
        may_run(target, order)
            && is_on_rack(target, order)
            && self.free_at(key).is_some_and(|free| free.can_fit(&order.needs))
            && pays(place)
    }

    /// Returns whether this coordinator is among the few that may take back orders for the target now.
    fn has_turn(&self, key: &FreeKey) -> bool {
        let coordinators = if key.is_far {
            self.turns.all
        } else {
            self.turns.near
        };
        let rank = hash_of(&(key.spread, self.period)) % coordinators.max(1);
        rank < COORDINATORS_PER_TURN
    }

    fn free_at(&self, key: &FreeKey) -> Option<Resources> {
        let mut free = self.owners.free_at(key)?;
        for place in &self.found {
            if (place.number, place.position) == (key.owner, key.position) {
                free -= place.needs;
            }
        }
        Some(free)
    }
}

fn is_on_rack(target: &TargetLoad, order: &RunOrder) -> bool {
    let rack = order.data_rack.as_ref();
    rack.is_none_or(|rack| target.labels.contains(rack))
}

impl OwnerLoad {
    /// Returns whether this is the load of the entry itself.
    fn is_own(&self) -> bool {
        self.distance == super::Distance::Own
    }
}
