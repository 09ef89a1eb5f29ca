use std::{collections::BTreeMap, sync::Arc};

use arc_swap::ArcSwap;
use kqr_types::{ServiceName, TargetId};

use crate::{Announcement, Demand, Target, TargetKind};

/// Why no target was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickFailure {
    /// No target serves the service.
    UnknownService,
    /// No target is large enough, whether busy or not.
    NoneFits,
    /// Each target that is large enough is busy.
    AllBusy,
}

#[derive(Debug, Default)]
struct Snapshot {
    services: BTreeMap<ServiceName, Vec<Arc<Target>>>,
    targets: BTreeMap<TargetId, Arc<Target>>,
}

/// The targets that an instance may use, read without locks.
#[derive(Debug, Default)]
pub struct Table {
    snapshot: ArcSwap<Snapshot>,
}

impl Table {
    /// Creates a table without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces a target. Returns whether anything changed.
    pub fn announce(&self, announcement: &Announcement) -> bool {
        let present = self.get(&announcement.id);
        if let Some(target) = &present {
            let known = &target.announcement;
            if known.incarnation > announcement.incarnation || known == announcement {
                return false;
            }
        }
        self.update(|targets| {
            let target = Arc::new(Target::new(announcement.clone()));
            targets.insert(announcement.id.clone(), target);
        });
        true
    }

    /// Removes a target. Returns whether it was known.
    pub fn remove(&self, id: &TargetId) -> bool {
        if self.get(id).is_none() {
            return false;
        }
        self.update(|targets| {
            targets.remove(id);
        });
        true
    }

    /// Returns the target with `id`.
    pub fn get(&self, id: &TargetId) -> Option<Arc<Target>> {
        self.snapshot.load().targets.get(id).cloned()
    }

    /// Returns all targets in the order of their ids.
    pub fn targets(&self) -> Vec<Arc<Target>> {
        self.snapshot.load().targets.values().cloned().collect()
    }

    /// Returns whether any target serves `service`.
    pub fn serves(&self, service: &ServiceName) -> bool {
        self.snapshot.load().services.contains_key(service)
    }

    /// Picks the target with the shortest expected run time among those with a free slot, and takes the slot.
    ///
    /// # Errors
    ///
    /// Returns why no target was picked.
    pub fn pick(
        &self,
        service: &ServiceName,
        kind: TargetKind,
        demand: &Demand<'_>,
    ) -> Result<Arc<Target>, PickFailure> {
        let snapshot = self.snapshot.load();
        let targets = snapshot
            .services
            .get(service)
            .ok_or(PickFailure::UnknownService)?;
        loop {
            let mut best: Option<&Arc<Target>> = None;
            let mut is_any_large_enough = false;
            for target in targets {
                if target.announcement.kind != kind || !target.fits(demand) {
                    continue;
                }
                is_any_large_enough = true;
                if target.used() >= target.announcement.slots.0 {
                    continue;
                }
                if demand.avoid.contains(&target.announcement.id) {
                    continue;
                }
                let is_better = best.is_none_or(|best| {
                    target.expected_run_time(demand) < best.expected_run_time(demand)
                        || (target.speed.get().to_bits() == best.speed.get().to_bits()
                            && target.used() < best.used())
                });
                if is_better {
                    best = Some(target);
                }
            }
            let failure = if is_any_large_enough {
                PickFailure::AllBusy
            } else {
                PickFailure::NoneFits
            };
            let target = best.ok_or(failure)?;
            if target.take_slot() {
                return Ok(Arc::clone(target));
            }
        }
    }

    fn update<F>(&self, change: F)
    where
        F: Fn(&mut BTreeMap<TargetId, Arc<Target>>),
    {
        self.snapshot.rcu(|present| {
            let mut targets = present.targets.clone();
            change(&mut targets);
            let mut services: BTreeMap<ServiceName, Vec<Arc<Target>>> = BTreeMap::new();
            for target in targets.values() {
                let service = target.announcement.service.clone();
                services.entry(service).or_default().push(Arc::clone(target));
            }
            Snapshot { services, targets }
        });
    }
}
