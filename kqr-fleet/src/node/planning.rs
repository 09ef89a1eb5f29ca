use std::{cmp::Reverse, collections::BTreeMap};

use kqr_types::{DataCentre, InstanceId, Instant, TargetId};

use super::{FleetOptions, directory::Directory, presence::Presence};
use crate::{EntryInfo, FleetState, Handover, Owner, TargetRecord};

/// Most handovers in one command.
const MAX_HANDOVERS: usize = 64;
/// Targets that one entry must own beyond another, by weight, before one of them moves. One less would only swap the
/// difference.
const IMBALANCE: usize = 2;

/// The plan of one round: owners of targets, and targets that are to move.
#[derive(Debug)]
pub(super) struct Planner<'a> {
    directory: &'a Directory,
    state: &'a FleetState,
    presence: &'a Presence,
    options: &'a FleetOptions,
    /// Number of targets of each live entry.
    loads: BTreeMap<InstanceId, usize>,
}

impl<'a> Planner<'a> {
    pub(super) fn new(
        directory: &'a Directory,
        state: &'a FleetState,
        presence: &'a Presence,
        options: &'a FleetOptions,
    ) -> Self {
        let mut loads = BTreeMap::new();
        for target in state.targets().values() {
            if directory.is_alive(&target.owner) {
                *loads.entry(target.owner.entry.clone()).or_default() += 1;
            }
        }
        Self {
            directory,
            state,
            presence,
            options,
            loads,
        }
    }

    /// Returns the targets that need an owner, with the owner that each gets.
    pub(super) fn handovers(&mut self, now: Instant) -> Vec<Handover> {
        let mut handovers = Vec::new();
        for record in self.unowned(now) {
            if handovers.len() == MAX_HANDOVERS {
                break;
            }
            let owner = self.kept_owner(&record).or_else(|| self.pick(&record, now));
            if let Some(owner) = owner {
                handovers.push(Handover { record, owner });
            }
        }
        handovers
    }

    /// Returns a target of each data centre whose entries own unequal shares.
    pub(super) fn moves(&self) -> Vec<TargetId> {
        let mut centres: BTreeMap<&DataCentre, Vec<&EntryInfo>> = BTreeMap::new();
        for entry in self.directory.entries.values() {
            if !entry.info.is_leaving {
                centres
                    .entry(&entry.info.data_centre)
                    .or_default()
                    .push(&entry.info);
            }
        }
        let mut moves = Vec::new();
        for entries in centres.values() {
            let most = entries.iter().max_by_key(|entry| self.share(entry, 0));
            let least = entries.iter().min_by_key(|entry| self.share(entry, 0));
            let (Some(most), Some(least)) = (most, least) else {
                continue;
            };
            if !self.is_full(most) || self.share(most, 0) < self.share(least, IMBALANCE) {
                continue;
            }
            let owned = self.state.targets().values();
            let mut owned = owned.filter(|target| target.owner.entry == most.id);
            moves.extend(owned.next().map(|target| target.record.id.clone()));
        }
        moves.extend(self.foreign());
        moves
    }

    /// Returns the targets that are owned from another data centre although their own one has an entry.
    fn foreign(&self) -> Vec<TargetId> {
        let mut foreign = Vec::new();
        for (id, owned) in self.state.targets() {
            let owner = self.directory.entries.get(&owned.owner.entry);
            let is_foreign = owner.is_some_and(|entry| entry.info.data_centre != owned.record.data_centre);
            if is_foreign && self.directory.takers(&owned.record.data_centre).next().is_some() {
                foreign.push(id.clone());
            }
        }
        foreign
    }

    fn unowned(&self, now: Instant) -> Vec<TargetRecord> {
        let mut records = Vec::new();
        for (id, owned) in self.state.targets() {
            if self.directory.gone.contains(id) {
                continue;
            }
            let is_released = self.directory.released.get(id) == Some(&owned.token);
            let reported = self.directory.targets.get(id).map(|known| &known.record);
            let is_changed =
                reported.is_some_and(|record| *record != owned.record && record.life >= owned.record.life);
            let data_centre = &owned.record.data_centre;
            let is_returning = self
                .presence
                .is_returning(now, data_centre, self.options.leader_grace);
            let is_lost = !is_returning && !self.directory.is_alive(&owned.owner);
            if is_released || is_changed || is_lost {
                records.push(reported.filter(|_| is_changed).unwrap_or(&owned.record).clone());
            }
        }
        for (id, known) in &self.directory.targets {
            let services = self.state.catalog().map(|catalog| &catalog.services);
            let is_served = services.is_some_and(|services| services.contains_key(&known.record.service));
            if is_served && !self.state.targets().contains_key(id) && !known.is_leaving {
                records.push(known.record.clone());
            }
        }
        records
    }

    /// Returns the present owner of a target that only came back under another record.
    fn kept_owner(&self, record: &TargetRecord) -> Option<Owner> {
        let owned = self.state.targets().get(&record.id)?;
        let is_released = self.directory.released.get(&record.id) == Some(&owned.token);
        let is_kept = !is_released && self.directory.is_alive(&owned.owner);
        is_kept.then(|| owned.owner.clone())
    }

    fn pick(&mut self, record: &TargetRecord, now: Instant) -> Option<Owner> {
        let near = self.directory.takers(&record.data_centre);
        // A common pool of targets has room more often than several small ones.
        let mut picked = near.min_by_key(|entry| {
            let is_full = self.is_full(entry);
            (
                is_full,
                Reverse(if is_full { 0 } else { self.load(entry) }),
                self.share(entry, 1),
            )
        });
        if picked.is_none() && self.is_reachable(record, now) {
            let all = self.directory.entries.values().map(|entry| &entry.info);
            let all = all.filter(|entry| !entry.is_leaving);
            picked = all.min_by_key(|entry| self.share(entry, 1));
        }
        let picked = picked?;
        let owner = Owner {
            entry: picked.id.clone(),
            incarnation: picked.incarnation,
        };
        *self.loads.entry(picked.id.clone()).or_default() += 1;
        Some(owner)
    }

    /// Returns whether a target without a live entry in its data centre can be reached from outside: its owner gave it
    /// back, or it reported to control after the last entry fell silent. A data centre that is cut off keeps its targets.
    fn is_reachable(&self, record: &TargetRecord, now: Instant) -> bool {
        let owned = self.state.targets().get(&record.id);
        let is_released =
            owned.is_some_and(|owned| self.directory.released.get(&record.id) == Some(&owned.token));
        let known = self.directory.targets.get(&record.id);
        let has_reported = known.is_some_and(|known| match self.presence.silent_since(&record.data_centre) {
            Some(since) => known.heard > since,
            None => now.since(known.heard) < self.options.entry_timeout,
        });
        is_released || has_reported
    }

    /// Returns the number of targets that an entry owns.
    fn load(&self, entry: &EntryInfo) -> usize {
        self.loads.get(&entry.id).copied().unwrap_or_default()
    }

    /// Returns whether an entry owns as many targets as it has the processing power for.
    fn is_full(&self, entry: &EntryInfo) -> bool {
        let most = u64::from(entry.weight) * self.options.max_targets_per_core / 1000;
        self.load(entry) as u64 >= most.max(1)
    }

    /// Returns how much of its share an entry has with `more` targets, in millionths of a target for each unit of weight.
    fn share(&self, entry: &EntryInfo, more: usize) -> u64 {
        let load = self.loads.get(&entry.id).copied().unwrap_or_default() + more;
        load as u64 * 1_000_000 / u64::from(entry.weight.max(1))
    }
}
