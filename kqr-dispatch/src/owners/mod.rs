//! Loads of all owners as known to a coordinator, with an index of the targets that accept runs.

mod distance;
mod expected_wait;
mod free_index;
mod free_targets;
mod owner_load;
mod placement;
mod racks;
mod spare;
mod step_search;

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use kqr_types::InstanceId;

use crate::{
    JobRequest, LoadChange, LoadTargets, LoadUpdate, Options, QueuedWork, StepSpec, TargetLoad,
    load_report::LoadReport,
};
use distance::Distance;
use free_index::FreeKey;
use free_targets::FreeTargets;
use owner_load::OwnerLoad;
pub(crate) use spare::{SpareCapacity, Turns};
pub(crate) use step_search::StepSearch;

/// The known owners, with their free capacity. Each placed order is deducted until a load of its owner includes it.
///
/// Placing an order costs a few look-ups in the index, whatever the number of targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Owners {
    loads: BTreeMap<InstanceId, OwnerLoad>,
    /// Owners by their number in the index.
    numbers: BTreeMap<u32, InstanceId>,
    last_number: u32,
    /// Targets that accept runs.
    free: FreeTargets,
    /// Distinguishes the order in which coordinators prefer equal targets.
    seed: u64,
    /// Factor on the run time of a task on a rack that does not hold its data.
    remote_slowdown: f32,
    /// Longest wait for a target on the rack of the data.
    max_rack_wait: Duration,
}

impl Owners {
    /// Creates the empty set of owners known to `coordinator`.
    pub(crate) fn new(coordinator: &InstanceId, options: &Options) -> Self {
        Self {
            seed: hash_of(&coordinator),
            remote_slowdown: options.remote_slowdown,
            max_rack_wait: options.max_rack_wait,
            ..Self::default()
        }
    }

    /// Applies the load that an owner sent. Returns `false` if it does not continue the known load: a list of all
    /// targets must be requested then.
    pub(crate) fn apply(&mut self, owner: &InstanceId, is_near: bool, update: LoadUpdate) -> bool {
        match update.targets {
            LoadTargets::All(targets) => {
                let distance = if is_near { Distance::Near } else { Distance::Far };
                self.list(owner, distance, targets);
            }
            LoadTargets::Changed { since, changes } => {
                let known = self.loads.get(owner);
                if known.is_none_or(|known| known.number != since) {
                    return false;
                }
                self.change(owner, &changes);
            }
        }
        self.set_leaving(owner, update.is_leaving);
        let Some(known) = self.loads.get_mut(owner) else {
            return false;
        };
        known.number = update.number;
        known.last_order = update.last_order;
        let included = known.end_reservations(update.last_order);
        known.set_queued(update.queued);
        for position in included {
            self.restore_free(owner, position);
        }
        true
    }

    /// Replaces the load of this entry itself.
    pub(crate) fn replace_own(&mut self, own: &InstanceId, report: LoadReport) {
        self.list(own, Distance::Own, report.targets);
        self.set_leaving(own, report.is_leaving);
        self.refresh_own_queue(own, report.queued);
    }

    /// Updates the loads of this entry's own targets, which are in the order of the last list.
    pub(crate) fn refresh_own<Changes>(&mut self, own: &InstanceId, changes: Changes)
    where
        Changes: Iterator<Item = LoadChange>,
    {
        let Some(known) = self.loads.get_mut(own) else {
            return;
        };
        let reserved = known.end_all_reservations();
        for position in reserved {
            self.restore_free(own, position);
        }
        for change in changes {
            self.change(own, &[change]);
        }
    }

    /// Updates the work of the orders that wait at this entry.
    pub(crate) fn refresh_own_queue(&mut self, own: &InstanceId, queued: QueuedWork) {
        if let Some(known) = self.loads.get_mut(own) {
            known.set_queued(queued);
        }
    }

    /// Removes an owner that counts as lost.
    pub(crate) fn remove(&mut self, owner: &InstanceId) {
        self.list(owner, Distance::Far, Vec::new());
        if let Some(known) = self.loads.remove(owner) {
            self.numbers.remove(&known.index_number);
        }
    }

    /// Returns whether `owner` is known to own targets.
    pub(crate) fn has_targets(&self, owner: &InstanceId) -> bool {
        let known = self.loads.get(owner);
        known.is_some_and(|known| !known.targets.is_empty())
    }

    /// Returns the owners of the own data centre that are known to have targets.
    pub(crate) fn near_owners(&self) -> impl Iterator<Item = &InstanceId> {
        let near = self.loads.iter();
        let near = near.filter(|(_, owner)| owner.is_near() && !owner.targets.is_empty());
        near.map(|(id, _)| id)
    }

    /// Returns whether some step fits on no target of the service. Returns `false` while no target of the service is
    /// known, for example after a restart.
    pub(crate) fn is_impossible(&self, request: &JobRequest) -> bool {
        let mut known = self.targets().filter(|target| target.service == request.service);
        let is_known = known.next().is_some();
        let mut steps = request.steps.iter();
        is_known && !steps.all(|step| self.targets().any(|target| fits_step(target, request, step)))
    }

    /// Replaces the list of an owner's targets.
    fn list(&mut self, owner: &InstanceId, distance: Distance, targets: Vec<TargetLoad>) {
        let positions = self.loads.get(owner).map_or(0, |known| known.targets.len());
        for position in 0..positions {
            self.update_target(owner, position, |known| known.close(position));
        }
        let index_number = self.index_number(owner);
        let seed = self.seed;
        let spreads = targets.iter().map(|target| hash_of(&(seed, &target.id)) as u32);
        let spreads = spreads.collect();
        let spread = hash_of(&(seed, owner)) as u32;
        let known = OwnerLoad::new(index_number, distance, spread, targets, spreads);
        let count = known.targets.len();
        self.loads.insert(owner.clone(), known);
        for position in 0..count {
            self.insert_key(owner, position);
        }
    }

    /// Returns the number of an owner in the index. A new owner gets one.
    fn index_number(&mut self, owner: &InstanceId) -> u32 {
        if let Some(known) = self.loads.get(owner) {
            return known.index_number;
        }
        self.last_number = self.last_number.wrapping_add(1);
        self.numbers.insert(self.last_number, owner.clone());
        self.last_number
    }

    fn change(&mut self, owner: &InstanceId, changes: &[LoadChange]) {
        for change in changes {
            self.update_target(owner, change.position as usize, |known| known.apply(change));
        }
    }

    fn restore_free(&mut self, owner: &InstanceId, position: usize) {
        self.update_target(owner, position, |known| known.restore_free(position));
    }

    fn set_leaving(&mut self, owner: &InstanceId, is_leaving: bool) {
        let known = self.loads.get(owner);
        let Some(count) = known
            .filter(|known| known.is_leaving != is_leaving)
            .map(|known| known.targets.len())
        else {
            return;
        };
        for position in 0..count {
            self.remove_key(owner, position);
        }
        if let Some(known) = self.loads.get_mut(owner) {
            known.is_leaving = is_leaving;
        }
        for position in 0..count {
            self.insert_key(owner, position);
        }
    }

    /// Changes the load of a target and moves it in the index.
    fn update_target<Change>(&mut self, owner: &InstanceId, position: usize, change: Change)
    where
        Change: FnOnce(&mut OwnerLoad),
    {
        let Some(known) = self.loads.get_mut(owner) else {
            return;
        };
        let before = known.key(position);
        change(known);
        let after = known.key(position);
        let Some(target) = known.targets.get(position) else {
            return;
        };
        if before == after {
            return;
        }
        if let Some(key) = before {
            self.free.remove(target, &key);
        }
        if let Some(key) = after {
            self.free.insert(target, key);
        }
    }

    fn insert_key(&mut self, owner: &InstanceId, position: usize) {
        let Some(known) = self.loads.get(owner) else {
            return;
        };
        if let (Some(key), Some(target)) = (known.key(position), known.targets.get(position)) {
            self.free.insert(target, key);
        }
    }

    fn remove_key(&mut self, owner: &InstanceId, position: usize) {
        let Some(known) = self.loads.get(owner) else {
            return;
        };
        if let (Some(key), Some(target)) = (known.key(position), known.targets.get(position)) {
            self.free.remove(target, &key);
        }
    }

    fn owner_at(&self, key: &FreeKey) -> Option<&OwnerLoad> {
        self.owner_numbered(key.owner).map(|(_, owner)| owner)
    }

    fn owner_numbered(&self, number: u32) -> Option<(&InstanceId, &OwnerLoad)> {
        let id = self.numbers.get(&number)?;
        Some((id, self.loads.get(id)?))
    }

    fn target_at(&self, key: &FreeKey) -> Option<&TargetLoad> {
        self.owner_at(key)?.targets.get(key.position as usize)
    }

    fn free_at(&self, key: &FreeKey) -> Option<kqr_fleet::Resources> {
        self.owner_at(key)?.free_of(key.position as usize)
    }

    fn targets(&self) -> impl Iterator<Item = &TargetLoad> {
        let accepting = self.loads.values().filter(|owner| !owner.is_leaving);
        accepting.flat_map(|owner| &owner.targets)
    }
}

fn hash_of<Value>(value: &Value) -> u64
where
    Value: Hash,
{
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn fits_step(target: &TargetLoad, request: &JobRequest, step: &StepSpec) -> bool {
    let has_label = step
        .label
        .as_ref()
        .is_none_or(|label| target.labels.contains(label));
    has_label && target.service == request.service && target.capacity.can_fit(&step.needs)
}
