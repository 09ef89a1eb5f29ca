use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kqr_types::{ServiceName, TargetId};

use crate::{
    Announcement, Classes, Target, TargetKind, free_map::FreeMap, group::Group, slot_counters::SlotCounters,
};

/// One version of the table of targets.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// Announced targets.
    pub targets: BTreeMap<TargetId, Arc<Target>>,
    /// Removed targets, with their counters and learned speeds.
    pub retired: BTreeMap<TargetId, Arc<Target>>,
    /// Targets by service and kind.
    pub groups: BTreeMap<ServiceName, BTreeMap<TargetKind, Group>>,
}

impl Snapshot {
    /// Number of removed targets above which those without a slot in use are dropped.
    const MAX_IDLE_RETIRED: usize = 512;
    /// Number of observations required before the speed of a target counts towards the mean of its service.
    const MIN_SPEED_OBSERVATIONS: u32 = 10;

    /// Copies the targets, without the groups.
    pub fn copy_targets(&self) -> Self {
        Self {
            targets: self.targets.clone(),
            retired: self.retired.clone(),
            groups: BTreeMap::new(),
        }
    }

    /// Returns the targets of one kind that serve `service`.
    pub fn group(&self, service: &ServiceName, kind: TargetKind) -> Option<&Group> {
        self.groups.get(service)?.get(&kind)
    }

    /// Adds a target with `share` slots leased to this instance, or replaces the announcement of a known
    /// target. Returns false if the table is full.
    pub fn insert(&mut self, free: &Arc<FreeMap>, announcement: &Announcement, share: u32) -> bool {
        let id = &announcement.id;
        let known = self.targets.remove(id).or_else(|| self.retired.remove(id));
        let target = if let Some(known) = known {
            let state = Arc::clone(&known.state);
            let announcement = announcement.clone();
            Target { announcement, state }
        } else {
            let Some(index) = self.unused_index() else {
                return false;
            };
            let slots = SlotCounters::new(Arc::clone(free), index, announcement.slots.0, share);
            Target::new(announcement.clone(), slots)
        };
        self.targets.insert(id.clone(), Arc::new(target));
        true
    }

    /// Moves a target to the removed ones. Returns whether it was present.
    pub fn retire(&mut self, id: &TargetId) -> bool {
        let Some(target) = self.targets.remove(id) else {
            return false;
        };
        self.retired.insert(id.clone(), target);
        if self.retired.len() > Self::MAX_IDLE_RETIRED {
            self.retired.retain(|_, target| target.used_slots() > 0);
        }
        true
    }

    /// Rebuilds the groups from the targets.
    pub fn rebuild(&mut self, classes: &Classes) {
        for target in self.targets.values() {
            let announcement = &target.announcement;
            let kinds = self.groups.entry(announcement.service.clone()).or_default();
            kinds
                .entry(announcement.kind)
                .or_default()
                .add(Arc::clone(target));
        }
        for (service, kinds) in &mut self.groups {
            let run_times = classes.relative_run_times(service);
            for group in kinds.values_mut() {
                group.rebuild(run_times.clone());
            }
        }
    }

    /// Rescales the speeds of the targets of `service` so that their geometric mean is 1.
    pub fn normalise_speeds(&self, service: &ServiceName) {
        let mut log_sum = 0.0;
        let mut known = Vec::new();
        for target in self.targets.values() {
            let is_known = target.state.speed.observations() >= Self::MIN_SPEED_OBSERVATIONS;
            if target.announcement.service != *service || !is_known {
                continue;
            }
            log_sum += target.state.speed.get().ln();
            known.push(target);
        }
        if known.is_empty() {
            return;
        }
        let scale = (log_sum / known.len() as f64).exp();
        for target in known {
            target.state.speed.rescale(scale);
            for speed in target.state.class_speeds.load().values() {
                speed.rescale(scale);
            }
        }
    }

    fn unused_index(&self) -> Option<usize> {
        let known = self.targets.values().chain(self.retired.values());
        let used: BTreeSet<usize> = known.map(|target| target.state.slots.index).collect();
        (0..FreeMap::CAPACITY).find(|index| !used.contains(index))
    }
}
