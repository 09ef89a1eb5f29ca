use std::time::Duration;

use kqr_types::{InstanceId, TargetId};

use crate::{
    JobRequest, LoadReport, RunOrder, StepSpec, TargetLoad, load_report::RANKS, suitability::Suitability,
};

/// Load of an owner.
#[derive(Clone, Debug, PartialEq)]
struct OwnerLoad {
    owner: InstanceId,
    is_near: bool,
    load: LoadReport,
}

/// Owners that can receive orders, with their free capacity. Each placed order is deducted.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Candidates {
    owners: Vec<OwnerLoad>,
}

impl Candidates {
    /// Adds an owner, unless it is shutting down.
    pub(crate) fn add(&mut self, owner: &InstanceId, is_near: bool, load: LoadReport) {
        if !load.is_leaving {
            self.owners.push(OwnerLoad {
                owner: owner.clone(),
                is_near,
                load,
            });
        }
    }

    /// Returns whether some step fits on no target of the service. Returns `false` while no target of the
    /// service is known, for example after a restart.
    pub(crate) fn is_impossible(&self, request: &JobRequest) -> bool {
        let mut known = self.targets().filter(|target| target.service == request.service);
        let is_known = known.next().is_some();
        let mut steps = request.steps.iter();
        is_known && !steps.all(|step| self.targets().any(|target| fits_step(target, request, step)))
    }

    /// Returns how long the tasks of a job are expected to wait for capacity. Returns zero if no target
    /// accepts runs at present, because this is assumed to be a short interruption.
    pub(crate) fn expected_wait(&self, request: &JobRequest) -> Duration {
        let mut capacity = 0;
        let mut has_capacity = false;
        for target in self.targets() {
            if target.service != request.service || !target.is_open {
                continue;
            }
            capacity += target.capacity.cpu_milli;
            let mut steps = request.steps.iter();
            has_capacity |= steps.any(|step| target.free.can_fit(&step.needs));
        }
        if capacity == 0 || has_capacity {
            return Duration::ZERO;
        }
        let rank = (request.priority as usize).min(RANKS - 1);
        let queued: u64 = self
            .owners
            .iter()
            .map(|owner| queued_work(&owner.load, rank))
            .sum();
        Duration::from_millis(queued * 1000 / capacity)
    }

    /// Picks the owner for an order: the one with free capacity on the most suitable target, which is
    /// returned as well, or else the one with the shortest expected wait. A suspect gets an idle target, if there
    /// is one.
    pub(crate) fn pick_owner(&mut self, order: &RunOrder) -> Option<(InstanceId, Option<TargetId>)> {
        let is_idle = |target: &TargetLoad| target.free == target.capacity;
        let idle = order
            .is_suspect()
            .then(|| self.most_suitable(order, is_idle))
            .flatten();
        let Some((number, index)) = idle.or_else(|| self.most_suitable(order, |_| true)) else {
            return self.pick_shortest_queue(order).map(|owner| (owner, None));
        };
        let owner = self.owners.get_mut(number)?;
        let target = owner.load.targets.get_mut(index)?;
        target.free -= order.needs;
        Some((owner.owner.clone(), Some(target.id.clone())))
    }

    /// Returns the positions of the owner and the target with free capacity that suit `order` best.
    fn most_suitable<Filter>(&self, order: &RunOrder, is_eligible: Filter) -> Option<(usize, usize)>
    where
        Filter: Fn(&TargetLoad) -> bool,
    {
        let mut best: Option<(Suitability, usize, usize)> = None;
        for (number, owner) in self.owners.iter().enumerate() {
            for (index, target) in owner.load.targets.iter().enumerate() {
                let has_capacity = target.is_open && target.free.can_fit(&order.needs);
                if !has_capacity || !is_eligible(target) || !may_run(target, order) {
                    continue;
                }
                let is_data_remote = order
                    .data_rack
                    .as_ref()
                    .is_some_and(|rack| !target.labels.contains(rack));
                let suitability = Suitability::of(
                    order,
                    Duration::ZERO,
                    target.slowness,
                    is_data_remote,
                    owner.is_near,
                );
                if best.is_none_or(|(least, ..)| suitability.is_better(least)) {
                    best = Some((suitability, number, index));
                }
            }
        }
        best.map(|(_, number, index)| (number, index))
    }

    fn pick_shortest_queue(&mut self, order: &RunOrder) -> Option<InstanceId> {
        let rank = (order.priority as usize).min(RANKS - 1);
        let mut best: Option<(u64, usize)> = None;
        for (number, owner) in self.owners.iter().enumerate() {
            let targets = owner.load.targets.iter();
            let usable = targets.filter(|target| may_run(target, order));
            let capacity: u64 = usable.map(|target| target.capacity.cpu_milli).sum();
            if capacity == 0 {
                continue;
            }
            let wait = queued_work(&owner.load, rank) * 1000 / capacity;
            if best.is_none_or(|(least, _)| wait < least) {
                best = Some((wait, number));
            }
        }
        let (_, number) = best?;
        let owner = self.owners.get_mut(number)?;
        owner.load.queued[rank] += order.needs.cpu_milli * order.estimate.as_millis() as u64 / 1000;
        Some(owner.owner.clone())
    }

    fn targets(&self) -> impl Iterator<Item = &TargetLoad> {
        self.owners.iter().flat_map(|owner| &owner.load.targets)
    }
}

/// Returns the queued work ahead of an order of priority `rank`, in core-milliseconds.
fn queued_work(load: &LoadReport, rank: usize) -> u64 {
    load.queued.iter().take(rank + 1).sum()
}

fn fits_step(target: &TargetLoad, request: &JobRequest, step: &StepSpec) -> bool {
    let has_label = step
        .label
        .as_ref()
        .is_none_or(|label| target.labels.contains(label));
    has_label && target.service == request.service && target.capacity.can_fit(&step.needs)
}

fn may_run(target: &TargetLoad, order: &RunOrder) -> bool {
    let has_label = order
        .label
        .as_ref()
        .is_none_or(|label| target.labels.contains(label));
    has_label
        && target.service == order.service
        && target.capacity.can_fit(&order.needs)
        && !order.avoided_targets.contains(&target.id)
}
