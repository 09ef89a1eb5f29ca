use std::{cmp::Reverse, collections::BTreeMap};

use kqr_types::{DataCentre, InstanceId, Instant, TargetId};

use super::{FleetOptions, observed_fleet::ObservedFleet, reachability::Reachability};
use crate::{EntryInfo, FleetState, Handover, Owner, TargetRecord};

/// Maximum number of handovers in one command.
const MAX_HANDOVERS_PER_COMMAND: usize = 64;
/// Maximum number of changed records in one command.
const MAX_UPDATES_PER_COMMAND: usize = 256;
/// Difference in the weighted number of targets of two entries from which one target moves. With a difference
/// of 1, a move would only reverse it.
const MIN_IMBALANCE_TARGETS: usize = 2;

/// Plans owners for targets, and moves of targets between entries, for one tick of the leader.
#[derive(Debug)]
pub(super) struct Planner<'a> {
    observed: &'a ObservedFleet,
    state: &'a FleetState,
    reachability: &'a Reachability,
    options: &'a FleetOptions,
    /// Number of targets that each live entry owns.
    loads: BTreeMap<InstanceId, usize>,
}

impl<'a> Planner<'a> {
    pub(super) fn new(
        observed: &'a ObservedFleet,
        state: &'a FleetState,
        reachability: &'a Reachability,
        options: &'a FleetOptions,
    ) -> Self {
        let mut loads = BTreeMap::new();
        for target in state.targets().values() {
            if observed.is_live(&target.owner) {
                *loads.entry(target.owner.entry.clone()).or_default() += 1;
            }
        }
        Self {
            observed,
            state,
            reachability,
            options,
            loads,
        }
    }

    /// Returns the records of targets that differ from the replicated state in their capacity only, as many as fit
    /// in one command. Their owners keep them, with all runs.
    pub(super) fn updates(&self) -> Vec<TargetRecord> {
        let mut records = Vec::new();
        for (id, owned) in self.state.targets() {
            let known = self.observed.targets.get(id).map(|known| &known.record);
            let resized =
                known.filter(|record| **record != owned.record && owned.record.is_resized_to(record));
            records.extend(resized.cloned());
            if records.len() == MAX_UPDATES_PER_COMMAND {
                break;
            }
        }
        records
    }

    /// Returns handovers of targets that need an owner or have a new record, as many as fit in one command.
    pub(super) fn handovers(&mut self, now: Instant) -> Vec<Handover> {
        let mut handovers = Vec::new();
        for record in self.targets_without_owner(now) {
            if handovers.len() == MAX_HANDOVERS_PER_COMMAND {
                break;
            }
            let owner = self
                .retained_owner(&record)
                .or_else(|| self.select_owner(&record, now));
            if let Some(owner) = owner {
                handovers.push(Handover { record, owner });
            }
        }
        handovers
    }

    /// Returns one target of each data centre whose entries are unequally loaded, and all misplaced targets.
    pub(super) fn targets_to_move(&self) -> Vec<TargetId> {
        let mut data_centres: BTreeMap<&DataCentre, Vec<&EntryInfo>> = BTreeMap::new();
        for entry in self.observed.entries.values() {
            if !entry.info.is_leaving {
                data_centres
                    .entry(&entry.info.data_centre)
                    .or_default()
                    .push(&entry.info);
            }
        }
        let mut moves = Vec::new();
        for entries in data_centres.values() {
            let most_loaded = entries.iter().max_by_key(|entry| self.weighted_load(entry, 0));
            let least_loaded = entries.iter().min_by_key(|entry| self.weighted_load(entry, 0));
            let (Some(most_loaded), Some(least_loaded)) = (most_loaded, least_loaded) else {
                continue;
            };
            if !self.is_full(most_loaded)
                || self.weighted_load(most_loaded, 0)
                    < self.weighted_load(least_loaded, MIN_IMBALANCE_TARGETS)
            {
                continue;
            }
            let owned = self.state.targets().values();
            let mut owned = owned.filter(|target| target.owner.entry == most_loaded.id);
            moves.extend(owned.next().map(|target| target.record.id.clone()));
        }
        moves.extend(self.misplaced_targets());
        moves
    }

    /// Returns the targets whose owner is in another data centre although their own has an eligible entry.
    fn misplaced_targets(&self) -> Vec<TargetId> {
        let mut misplaced = Vec::new();
        for (id, owned) in self.state.targets() {
            let owner = self.observed.entries.get(&owned.owner.entry);
            let is_misplaced = owner.is_some_and(|entry| entry.info.data_centre != owned.record.data_centre);
            if is_misplaced
                && self
                    .observed
                    .eligible_owners(&owned.record.data_centre)
                    .next()
                    .is_some()
            {
                misplaced.push(id.clone());
            }
        }
        misplaced
    }

    fn targets_without_owner(&self, now: Instant) -> Vec<TargetRecord> {
        let mut records = Vec::new();
        for (id, owned) in self.state.targets() {
            if self.observed.to_forget.contains(id) {
                continue;
            }
            let is_released = self.observed.released.get(id) == Some(&owned.token);
            let reported = self.observed.targets.get(id).map(|known| &known.record);
            let is_changed = reported.is_some_and(|record| {
                !owned.record.is_resized_to(record) && record.life >= owned.record.life
            });
            let data_centre = &owned.record.data_centre;
            let is_recovering = self
                .reachability
                .is_recovering(now, data_centre, self.options.leader_grace);
            let is_lost = !is_recovering && !self.observed.is_live(&owned.owner);
            if is_released || is_changed || is_lost {
                let is_current = |record: &&TargetRecord| record.life >= owned.record.life;
                records.push(reported.filter(is_current).unwrap_or(&owned.record).clone());
            }
        }
        for (id, known) in &self.observed.targets {
            let services = self.state.catalog().map(|catalog| &catalog.services);
            let is_served = services.is_some_and(|services| services.contains_key(&known.record.service));
            let is_leaving = known.is_leaving || self.state.is_leaving(&known.record);
            if is_served && !self.state.targets().contains_key(id) && !is_leaving {
                records.push(known.record.clone());
            }
        }
        records
    }

    /// Returns the current owner of a target that still owns it, because only the record of the target
    /// changed.
    fn retained_owner(&self, record: &TargetRecord) -> Option<Owner> {
        let owned = self.state.targets().get(&record.id)?;
        let is_released = self.observed.released.get(&record.id) == Some(&owned.token);
        let is_retained = !is_released && self.observed.is_live(&owned.owner);
        is_retained.then(|| owned.owner.clone())
    }

    fn select_owner(&mut self, record: &TargetRecord, now: Instant) -> Option<Owner> {
        let local = self.observed.eligible_owners(&record.data_centre);
        // Filling one entry before the next keeps targets in a large pool, which has free capacity more often
        // than several small ones.
        let mut selected = local.min_by_key(|entry| {
            let is_full = self.is_full(entry);
            (
                is_full,
                Reverse(if is_full { 0 } else { self.owned_targets(entry) }),
                self.weighted_load(entry, 1),
            )
        });
        if selected.is_none() && self.is_target_reachable(record, now) {
            let all = self.observed.entries.values().map(|entry| &entry.info);
            let all = all.filter(|entry| !entry.is_leaving);
            selected = all.min_by_key(|entry| self.weighted_load(entry, 1));
        }
        let selected = selected?;
        let owner = Owner {
            entry: selected.id.clone(),
            incarnation: selected.incarnation,
        };
        *self.loads.entry(selected.id.clone()).or_default() += 1;
        Some(owner)
    }

    /// Returns whether a target without a live entry in its data centre can be reached from another one: its
    /// owner released it, or it reported to a control instance after the last entry timed out.
    ///
    /// Targets of a data centre that is partitioned from the control instances keep their owners.
    fn is_target_reachable(&self, record: &TargetRecord, now: Instant) -> bool {
        let owned = self.state.targets().get(&record.id);
        let is_released =
            owned.is_some_and(|owned| self.observed.released.get(&record.id) == Some(&owned.token));
        let known = self.observed.targets.get(&record.id);
        let has_reported =
            known.is_some_and(
                |known| match self.reachability.unreachable_since(&record.data_centre) {
                    Some(since) => known.last_report > since,
                    None => now.since(known.last_report) < self.options.entry_timeout,
                },
            );
        is_released || has_reported
    }

    /// Returns the number of targets that an entry owns.
    fn owned_targets(&self, entry: &EntryInfo) -> usize {
        self.loads.get(&entry.id).copied().unwrap_or_default()
    }

    /// Returns whether an entry owns as many targets as its processing power allows.
    fn is_full(&self, entry: &EntryInfo) -> bool {
        let max_targets = u64::from(entry.weight) * self.options.max_targets_per_core / 1000;
        self.owned_targets(entry) as u64 >= max_targets.max(1)
    }

    /// Returns the load of an entry with `additional` targets, in millionths of a target per unit of weight.
    fn weighted_load(&self, entry: &EntryInfo, additional: usize) -> u64 {
        let load = self.loads.get(&entry.id).copied().unwrap_or_default() + additional;
        load as u64 * 1_000_000 / u64::from(entry.weight.max(1))
    }
}
