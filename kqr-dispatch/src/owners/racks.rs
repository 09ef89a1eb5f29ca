//! Picking an owner and a target for an order that names the rack of its data.

use std::{collections::BTreeMap, time::Duration};

use kqr_types::InstanceId;

use super::{Owners, free_index::FreeKey, owner_load::Reservation, placement::may_run};
use crate::{RunOrder, load_report::RANKS, locality::RackChoice, suitability::on_time_budget};

/// An owner with targets on a rack.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RackOwner {
    /// Number of runs of the order that fit on its targets there.
    places: u64,
    /// Total processors of its targets there.
    cpu_milli: u64,
    /// Total of the ratios of run time to estimate of these targets.
    slowness: f32,
    targets: u32,
}

impl Owners {
    /// Returns the owner and the position of a free target on the rack of the order.
    pub(super) fn free_on_rack(&mut self, order: &RunOrder, rack: &str) -> Option<(InstanceId, usize)> {
        self.index_rack(rack);
        let index = self.free.on_rack(rack, &order.service)?;
        self.most_suitable_in(index, order, 1.0)
    }

    /// Picks the owner at which the order waits for a target on its rack, if that is expected to pay.
    pub(super) fn pick_rack_queue(
        &mut self,
        order: &RunOrder,
        rack: &str,
        has_place_elsewhere: bool,
    ) -> Option<InstanceId> {
        let priority = (order.priority as usize).min(RANKS - 1);
        let mut best: Option<(Duration, u32, InstanceId)> = None;
        for (number, on_rack) in self.rack_owners(order, rack) {
            let Some((id, owner)) = self.owner_numbered(number) else {
                continue;
            };
            // Orders that wait at an owner with free targets wait for a rack, so all queued work is taken to need this one.
            let cpu = on_rack.cpu_milli.max(1);
            let queue = Duration::from_millis(owner.queued_work(priority).saturating_mul(1000) / cpu);
            let slowness = on_rack.slowness / on_rack.targets.max(1) as f32;
            // The first of some equal runs that began at random times ends after this part of their run time.
            let next_end = order.estimate.mul_f32(slowness.clamp(0.0, 1000.0)) / (on_rack.places as u32 + 1);
            let wait = queue + next_end;
            if best
                .as_ref()
                .is_none_or(|(least, spread, _)| (wait, owner.spread) < (*least, *spread))
            {
                best = Some((wait, owner.spread, id.clone()));
            }
        }
        let (rack_wait, _, id) = best?;
        let elsewhere_wait = if has_place_elsewhere {
            Duration::ZERO
        } else {
            rack_wait
        };
        let choice = RackChoice {
            rack_wait,
            elsewhere_wait,
            run_time: order.estimate,
            slowdown: self.remote_slowdown,
            on_time_left: Duration::from_secs_f32(on_time_budget(order, Duration::ZERO)),
            max_wait: self.max_rack_wait,
        };
        if !choice.does_wait_pay() {
            return None;
        }
        let owner = self.loads.get_mut(&id)?;
        owner.reserve(Reservation::in_queue(order, priority));
        Some(id)
    }

    /// Returns the owners with open targets on the rack that may run the order, by their number.
    fn rack_owners(&self, order: &RunOrder, rack: &str) -> BTreeMap<u32, RackOwner> {
        let mut owners: BTreeMap<u32, RackOwner> = BTreeMap::new();
        let Some(index) = self.free.on_rack(rack, &order.service) else {
            return owners;
        };
        for key in index.all_with_cpu(0) {
            let Some(target) = self.target_at(key).filter(|target| may_run(target, order)) else {
                continue;
            };
            let owner = owners.entry(key.owner).or_default();
            owner.places += (target.capacity.cpu_milli / order.needs.cpu_milli.max(1)).min(1000);
            owner.cpu_milli += target.capacity.cpu_milli;
            owner.slowness += target.slowness;
            owner.targets += 1;
        }
        owners
    }

    /// Adds the index of a rack when it is first named.
    fn index_rack(&mut self, rack: &str) {
        if !self.free.add_rack(rack) {
            return;
        }
        for owner in self.loads.values() {
            for (position, target) in owner.targets.iter().enumerate() {
                let key: Option<FreeKey> = owner.key(position);
                if let Some(key) = key
                    && target.labels.iter().any(|label| label == rack)
                {
                    self.free.insert_on_rack(rack, target, key);
                }
            }
        }
    }
}
