use std::{collections::BTreeMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use kqr_types::{ClassName, Instant, ServiceName, TargetId};

use crate::{
    Announcement, Classes, Demand, PickFailure, ResourceUsage, ShareUsage, Target, TargetKind,
    free_map::FreeMap, snapshot::Snapshot,
};

/// The targets that an instance may use. Reads are lock-free.
#[derive(Debug)]
pub struct Table {
    free: Arc<FreeMap>,
    classes: Classes,
    snapshot: ArcSwap<Snapshot>,
    initial_share: u32,
}

impl Table {
    /// Maximum number of targets. Announcements of further targets are ignored.
    pub const CAPACITY: usize = FreeMap::CAPACITY;

    /// Creates an empty table, whose targets start with all their slots available to this instance.
    pub fn new() -> Self {
        Self::with_initial_share(u32::MAX)
    }

    /// Creates an empty table, whose targets start with no slots available until a share is leased to this
    /// instance.
    pub fn with_leased_slots() -> Self {
        Self::with_initial_share(0)
    }

    fn with_initial_share(initial_share: u32) -> Self {
        Self {
            initial_share,
            free: Arc::new(FreeMap::new()),
            classes: Classes::default(),
            snapshot: ArcSwap::default(),
        }
    }

    /// Adds a target or replaces its announcement, preserving its counters and learned speed. Returns whether
    /// anything changed.
    pub fn announce(&self, announcement: &Announcement) -> bool {
        let present = self.get(&announcement.id);
        if let Some(target) = &present {
            let known = &target.announcement;
            let is_new_incarnation = known.incarnation < announcement.incarnation;
            if known.incarnation > announcement.incarnation || known == announcement {
                return false;
            }
            if !is_new_incarnation && !target.accepts_work() {
                return false;
            }
        }
        let is_added = self.update(|snapshot| snapshot.insert(&self.free, announcement, self.initial_share));
        if let Some(target) = self.get(&announcement.id) {
            target.state.slots.set_slots(announcement.slots.0);
            target.state.slots.set_open(true);
        }
        is_added
    }

    /// Stops placing work on a target that is leaving. Running work continues. Returns whether the target was
    /// known.
    pub fn set_leaving(&self, id: &TargetId) -> bool {
        let Some(target) = self.get(id) else { return false };
        target.state.slots.set_open(false);
        true
    }

    /// Removes a target. Its slots in use stay counted, even if the same id is announced again. Returns
    /// whether the target was known.
    pub fn remove(&self, id: &TargetId) -> bool {
        self.set_leaving(id) && self.update(|snapshot| snapshot.retire(id))
    }

    /// Returns the target with `id`.
    pub fn get(&self, id: &TargetId) -> Option<Arc<Target>> {
        self.snapshot.load().targets.get(id).cloned()
    }

    /// Returns the target with `id`, including recently removed targets.
    pub fn get_or_retired(&self, id: &TargetId) -> Option<Arc<Target>> {
        let snapshot = self.snapshot.load();
        let present = snapshot.targets.get(id);
        present.or_else(|| snapshot.retired.get(id)).cloned()
    }

    /// Returns all targets, ordered by id.
    pub fn targets(&self) -> Vec<Arc<Target>> {
        self.snapshot.load().targets.values().cloned().collect()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.snapshot.load().targets.len()
    }

    /// Returns whether the table has no targets.
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

    /// Takes a slot of the target on which work with `demand` is expected to end soonest.
    ///
    /// # Errors
    ///
    /// Returns the reason why no target was picked.
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

    /// Releases a slot of a target, even if the target was removed or announced again in the meantime.
    pub fn release_slot(&self, id: &TargetId) {
        if let Some(target) = self.get_or_retired(id) {
            target.release_slot();
        }
    }

    /// Updates the learned speed and run times with the run time of a completed task.
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

    /// Returns the sum of the speeds of all slots that this instance may use for `service`.
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

    /// Returns the number of free slots that this instance may use for `service`.
    pub fn free_slots(&self, service: &ServiceName, kind: TargetKind) -> u32 {
        let snapshot = self.snapshot.load();
        let group = snapshot.group(service, kind);
        group.map_or(0, |group| group.targets().map(|target| target.free_slots()).sum())
    }

    /// Returns the usage of all targets for a share report, where `waiting` returns the number of waiting
    /// tasks of a service.
    ///
    /// The demand for each target is all work of its service that runs or waits at this instance, because the
    /// work that runs on a target does not show how much more could run there.
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

    /// Rebuilds the rankings of targets from the learned speeds and the shares.
    ///
    /// [`Table::pick`] does not do this. Call it every second and after a change of shares.
    pub fn refresh(&self) {
        let snapshot = self.snapshot.load();
        for service in snapshot.groups.keys() {
            snapshot.normalise_speeds(service);
        }
        self.update(|_| true);
    }

    fn update<F>(&self, change: F) -> bool
    where
        F: Fn(&mut Snapshot) -> bool,
    {
        let mut is_changed = false;
        self.snapshot.rcu(|present| {
            let mut next = present.copy_targets();
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
