//! Picking an owner and a target for an order.

use std::time::Duration;

use kqr_types::{InstanceId, TargetId};

use super::{
    Owners, StepSearch,
    free_index::{FreeIndex, FreeKey},
    owner_load::{OwnerLoad, Reservation},
};
use crate::{
    RunOrder, TargetLoad,
    load_report::RANKS,
    suitability::{Suitability, on_time_budget, on_time_fraction},
};

/// Additional wait that is assumed for an owner in another data centre: the round trip of an order and its end.
const FAR_WAIT: Duration = Duration::from_millis(5);

impl Owners {
    /// Picks the owner for an order: the one with free capacity on the most suitable target, which is returned as
    /// well, or else the one with the shortest expected wait. A suspect gets an idle target, if there is one.
    ///
    /// Orders of a step that are placed one after the other share a `search`.
    pub(crate) fn pick_owner(
        &mut self,
        order: &RunOrder,
        search: &mut StepSearch,
    ) -> Option<(InstanceId, Option<TargetId>)> {
        search.begin(order);
        let is_idle = |target: &TargetLoad, owner: &OwnerLoad, position: usize| {
            owner.free_of(position) == Some(target.capacity)
        };
        let mut free = order.is_suspect().then(|| self.scan(order, is_idle)).flatten();
        let rack = order.data_rack.as_deref();
        if free.is_none()
            && !search.is_full
            && let Some(rack) = rack
        {
            free = self.free_on_rack(order, rack);
        }
        if free.is_none() {
            if !search.is_full {
                free = self.most_suitable(order);
                search.is_full = free.is_none();
            }
            if let Some(rack) = rack
                && !self.is_on_rack(free.as_ref(), rack)
                && let Some(owner) = self.pick_rack_queue(order, rack, free.is_some())
            {
                return Some((owner, None));
            }
        }
        let Some((owner, position)) = free else {
            return self.pick_shortest_queue(order, search).map(|owner| (owner, None));
        };
        let target = self.loads.get(&owner)?.targets.get(position)?.id.clone();
        self.update_target(&owner, position, |known| {
            known.reserve(Reservation::on_target(order, position));
        });
        Some((owner, Some(target)))
    }

    /// Returns the owner and the position of the target with free capacity that suits `order` best: the slowest one of
    /// the own data centre on which the run ends on time, then the slowest such one elsewhere, then the fastest one. Of
    /// targets of the same speed this entry prefers its own.
    ///
    /// An order that names a rack takes longer on these targets, unless one happens to be there.
    fn most_suitable(&self, order: &RunOrder) -> Option<(InstanceId, usize)> {
        let slowdown = order.data_rack.as_ref().map_or(1.0, |_| self.remote_slowdown);
        self.most_suitable_in(self.free.of(&order.service)?, order, slowdown)
    }

    /// Returns the most suitable target of an index, on which runs of the order take `slowdown` times as long.
    pub(super) fn most_suitable_in(
        &self,
        index: &FreeIndex,
        order: &RunOrder,
        slowdown: f32,
    ) -> Option<(InstanceId, usize)> {
        let budget = on_time_budget(order, Duration::ZERO) * on_time_fraction(index.utilisation());
        let max_slowness = budget / (order.estimate.as_secs_f32() * slowdown).max(f32::MIN_POSITIVE);
        let fits = |key: &FreeKey| self.can_take(key, order);
        let cpu = order.needs.cpu_milli;
        let found = index
            .slowest_below(false, max_slowness, cpu, fits)
            .or_else(|| index.slowest_below(true, max_slowness, cpu, fits))
            .or_else(|| index.fastest(cpu, fits))?;
        Some((self.numbers.get(&found.owner)?.clone(), found.position as usize))
    }

    fn is_on_rack(&self, place: Option<&(InstanceId, usize)>, rack: &str) -> bool {
        let Some((owner, position)) = place else {
            return false;
        };
        let target = self
            .loads
            .get(owner)
            .and_then(|owner| owner.targets.get(*position));
        target.is_some_and(|target| target.labels.iter().any(|label| label == rack))
    }

    /// Compares all targets, for the rare orders whose best target depends on more than its speed.
    fn scan<Filter>(&self, order: &RunOrder, is_eligible: Filter) -> Option<(InstanceId, usize)>
    where
        Filter: Fn(&TargetLoad, &OwnerLoad, usize) -> bool,
    {
        let mut best: Option<(Suitability, &InstanceId, usize)> = None;
        for (id, owner) in &self.loads {
            for (position, target) in owner.targets.iter().enumerate() {
                let has_capacity = !owner.is_leaving
                    && target.is_open
                    && owner
                        .free_of(position)
                        .is_some_and(|free| free.can_fit(&order.needs));
                if !has_capacity || !is_eligible(target, owner, position) || !may_run(target, order) {
                    continue;
                }
                let is_data_remote = order
                    .data_rack
                    .as_ref()
                    .is_some_and(|rack| !target.labels.contains(rack));
                let slowdown = if is_data_remote { self.remote_slowdown } else { 1.0 };
                let suitability =
                    Suitability::of(order, Duration::ZERO, target.slowness, slowdown, owner.is_near());
                if best.is_none_or(|(least, ..)| suitability.is_better(least)) {
                    best = Some((suitability, id, position));
                }
            }
        }
        best.map(|(_, id, position)| (id.clone(), position))
    }

    /// Picks the owner with the shortest expected wait, and adds the order to its queue. Of equal ones, coordinators
    /// pick different owners, so that they don't fill one queue together before its owner reports it.
    fn pick_shortest_queue(&mut self, order: &RunOrder, search: &mut StepSearch) -> Option<InstanceId> {
        let able_owners = search.able_owners.get_or_insert_with(|| self.able_owners(order));
        let rank = (order.priority as usize).min(RANKS - 1);
        let mut shortest: Option<(u64, u32, &InstanceId)> = None;
        for id in able_owners.iter() {
            let Some(owner) = self.loads.get(id) else { continue };
            let cpu = owner.service_cpu_milli(&order.service).max(1);
            let far_ms = if owner.is_near() {
                0
            } else {
                FAR_WAIT.as_millis() as u64
            };
            let wait_ms = (owner.queued_work(rank).saturating_mul(1000) / cpu).saturating_add(far_ms);
            let place = (wait_ms, owner.spread, id);
            if shortest.is_none_or(|shortest| place < shortest) {
                shortest = Some(place);
            }
        }
        let id = shortest.map(|(.., id)| id.clone())?;
        let owner = self.loads.get_mut(&id)?;
        owner.reserve(Reservation::in_queue(order, rank));
        Some(id)
    }

    /// Returns the owners with a target that may run the order, free or not.
    fn able_owners(&self, order: &RunOrder) -> Vec<InstanceId> {
        let mut able = Vec::new();
        for (id, owner) in &self.loads {
            let has_capacity = !owner.is_leaving && owner.service_cpu_milli(&order.service) > 0;
            if has_capacity && owner.targets.iter().any(|target| may_run(target, order)) {
                able.push(id.clone());
            }
        }
        able
    }

    fn can_take(&self, key: &FreeKey, order: &RunOrder) -> bool {
        let free = self.free_at(key);
        let target = self.target_at(key);
        free.is_some_and(|free| free.can_fit(&order.needs))
            && target.is_some_and(|target| may_run(target, order))
    }
}

pub(super) fn may_run(target: &TargetLoad, order: &RunOrder) -> bool {
    let has_label = order
        .label
        .as_ref()
        .is_none_or(|label| target.labels.contains(label));
    has_label
        && target.service == order.service
        && target.capacity.can_fit(&order.needs)
        && !order.avoided_targets.contains(&target.id)
}
