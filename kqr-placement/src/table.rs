use std::{collections::BTreeMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use kqr_types::{ClassName, Instant, ServiceName, TargetId};

use crate::{
    Announcement, Classes, Demand, PickFailure, ResourceUsage, ShareUsage, Target, TargetKind,
    free_map::FreeMap, snapshot::Snapshot,
};

/// The targets that an instance may use, read without locks.
#[derive(Debug)]
pub struct Table {
    free: Arc<FreeMap>,
    classes: Classes,
    snapshot: ArcSwap<Snapshot>,
    first_share: u32,
}

impl Table {
    /// Most targets of a table. Further announcements are not taken in.
    pub const CAPACITY: usize = FreeMap::CAPACITY;

    /// Creates a table without targets, of whose slots this instance may use all.
    pub fn new() -> Self {
        Self::with_first_share(u32::MAX)
    }

    /// Creates a table without targets, of whose slots this instance may use none until a share of them is leased to it.
    pub fn with_leased_slots() -> Self {
        Self::with_first_share(0)
    }

    fn with_first_share(first_share: u32) -> Self {
        Self {
            first_share,
            free: Arc::new(FreeMap::new()),
            classes: Classes::default(),
            snapshot: ArcSwap::default(),
        }
    }

    /// Adds a target or replaces its announcement; counters and learned speed are kept. Returns whether anything
    /// changed.
    pub fn announce(&self, announcement: &Announcement) -> bool {
        let present = self.get(&announcement.id);
        if let Some(target) = &present {
            let known = &target.announcement;
            let is_new_life = known.incarnation < announcement.incarnation;
            if known.incarnation > announcement.incarnation || known == announcement {
                return false;
            }
            if !is_new_life && !target.accepts_work() {
                return false;
            }
        }
        let is_added = self.update(|snapshot| snapshot.insert(&self.free, announcement, self.first_share));
        if let Some(target) = self.get(&announcement.id) {
            target.state.slots.set_slots(announcement.slots.0);
            target.state.slots.set_open(true);
        }
        is_added
    }

    /// Stops new work for a target that is leaving; what runs there goes on. Returns whether it was known.
    pub fn set_leaving(&self, id: &TargetId) -> bool {
        let Some(target) = self.get(id) else { return false };
        target.state.slots.set_open(false);
        true
    }

    /// Removes a target. Slots in use are still counted, also for a later announcement of the same id. Returns
    /// whether it was known.
    pub fn remove(&self, id: &TargetId) -> bool {
        self.set_leaving(id) && self.update(|snapshot| snapshot.retire(id))
    }

    /// Returns the target with `id`.
    pub fn get(&self, id: &TargetId) -> Option<Arc<Target>> {
        self.snapshot.load().targets.get(id).cloned()
    }

    /// Returns the target with `id`, also if it was removed not long ago.
    pub fn get_or_retired(&self, id: &TargetId) -> Option<Arc<Target>> {
        let snapshot = self.snapshot.load();
        let present = snapshot.targets.get(id);
        present.or_else(|| snapshot.retired.get(id)).cloned()
    }

    /// Returns all targets in the order of their ids.
    pub fn targets(&self) -> Vec<Arc<Target>> {
        self.snapshot.load().targets.values().cloned().collect()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.snapshot.load().targets.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether any target serves `service`.
    pub fn serves(&self, service: &ServiceName) -> bool {
        self.snapshot.load().groups.contains_key(service)
    }

    /// Returns the learned run times.
    pub fn classes(&self) -> &Classes {
        &self.classes
    }

    /// Takes a slot of the target on which `demand` is expected to end soonest.
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
        let group = snapshot.group(service, kind).ok_or(PickFailure::UnknownService)?;
        group.pick(&self.free, demand)
    }

    /// Gives back a slot of a target, also if it was removed or announced anew in the meantime.
    pub fn release_slot(&self, id: &TargetId) {
        if let Some(target) = self.get_or_retired(id) {
            target.release_slot();
        }
    }

    /// Learns from the run time of a completed task.
    pub fn record_run_time(
        &self,
        service: &ServiceName,
        class: &ClassName,
        id: &TargetId,
        run_time: Duration,
    ) {
        let Some(target) = self.get(id) else { return };
        let Some(stats) = self.classes.get_or_add(service, class, run_time) else {
            return;
        };
        stats.observe(run_time.mul_f64(target.speed(Some(class))));
        if stats.observations() >= crate::ClassStats::MIN_OBSERVATIONS {
            target.observe(class, stats.geometric_mean(), run_time);
        }
    }

    /// Returns the sum of speeds over the slots that this instance may use for `service`.
    pub fn capacity(&self, service: &ServiceName, kind: TargetKind) -> f64 {
        let snapshot = self.snapshot.load();
        let Some(group) = snapshot.group(service, kind) else {
            return 0.0;
        };
        let speed_slots = |target: &Arc<Target>| f64::from(target.slot_limit()) * target.speed(None);
        group
            .targets()
            .filter(|target| target.accepts_work())
            .map(speed_slots)
            .sum()
    }

    /// Returns the number of free slots of this instance for `service`.
    pub fn free_slots(&self, service: &ServiceName, kind: TargetKind) -> u32 {
        let snapshot = self.snapshot.load();
        let group = snapshot.group(service, kind);
        group.map_or(0, |group| group.targets().map(|target| target.free_slots()).sum())
    }

    /// Returns the use of all targets for a report of shares. The demand for a slot of any target is all work of its
    /// service that runs or waits here: what runs on that target alone says nothing of how much could.
    pub fn share_usage<F>(&self, epoch_lease: Instant, waiting: F) -> ShareUsage<TargetId>
    where
        F: Fn(&ServiceName) -> u32,
    {
        let snapshot = self.snapshot.load();
        let mut demands: BTreeMap<&ServiceName, u32> = BTreeMap::new();
        for target in snapshot.targets.values() {
            let service = &target.announcement.service;
            *demands.entry(service).or_insert_with(|| waiting(service)) += target.used_slots();
        }
        let mut free = 0;
        let mut uses = Vec::with_capacity(snapshot.targets.len());
        for target in snapshot.targets.values() {
            free += target.free_slots();
            uses.push(ResourceUsage {
                resource: target.announcement.id.clone(),
                used: target.used_slots(),
                demand: demands.get(&target.announcement.service).copied().unwrap_or(0),
            });
        }
        ShareUsage {
            free,
            uses,
            epoch_lease,
        }
    }

    /// Brings the orders of targets in line with the learned speeds and the shares. Meant to be called every second
    /// and after a change of shares; it is not part of a pick.
    pub fn refresh(&self) {
        let snapshot = self.snapshot.load();
        for service in snapshot.groups.keys() {
            snapshot.normalise(service);
        }
        self.update(|_| true);
    }

    fn update<F>(&self, change: F) -> bool
    where
        F: Fn(&mut Snapshot) -> bool,
    {
        let mut is_changed = false;
        self.snapshot.rcu(|present| {
            let mut next = present.copy();
            is_changed = change(&mut next);
            next.rebuild(&self.classes);
            next
        });
        is_changed
    }
}

impl Default for Table {
    fn default() -> Self {
        Self::new()
    }
}
