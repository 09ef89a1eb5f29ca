use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_types::{DataCentre, Incarnation, InstanceId, Instant, TargetId};

use crate::{EntryInfo, FencingToken, FleetState, Owner, SyncRequest, TargetRecord, TargetReport};

/// Latest information about an entry.
#[derive(Clone, Debug)]
pub(super) struct ObservedEntry {
    pub(super) info: EntryInfo,
    /// When the entry last sent a request, or a sibling last reported contact with it.
    pub(super) last_seen: Instant,
}

/// Latest information about a target.
#[derive(Clone, Debug)]
pub(super) struct ObservedTarget {
    pub(super) record: TargetRecord,
    sequence: u64,
    pub(super) is_leaving: bool,
    /// When its last report arrived, directly or through an entry.
    pub(super) last_report: Instant,
}

/// Information about entries and targets that the leader keeps outside of the log. Entries and targets report
/// it to a new leader again within seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservedFleet {
    pub(super) entries: BTreeMap<InstanceId, ObservedEntry>,
    pub(super) targets: BTreeMap<TargetId, ObservedTarget>,
    /// Targets that their owners released, with the token of the released ownership.
    pub(super) released: BTreeMap<TargetId, FencingToken>,
    /// Targets that move to another owner as soon as no task runs there.
    pub(super) pending_moves: BTreeSet<TargetId>,
    /// Targets to remove from the replicated state: those that ended or that their owners report as
    /// unreachable.
    pub(super) to_forget: BTreeSet<TargetId>,
    unreachable: BTreeMap<TargetId, FencingToken>,
    /// Number of changes that alter the views of entries.
    pub(super) change_count: u32,
}

impl ObservedFleet {
    /// Records what an entry reports about itself, its siblings and its targets.
    pub(super) fn record_sync(&mut self, now: Instant, request: &SyncRequest) {
        let entry = &request.entry;
        let known = ObservedEntry {
            info: entry.clone(),
            last_seen: now,
        };
        let previous = self.entries.insert(entry.id.clone(), known);
        if previous.is_none_or(|previous| previous.info != *entry) {
            self.change_count += 1;
        }
        for (id, incarnation) in &request.heard {
            if let Some(sibling) = self.entries.get_mut(id)
                && sibling.info.incarnation == *incarnation
            {
                sibling.last_seen = now;
            }
        }
        for (target, token) in &request.released {
            self.released.insert(target.clone(), *token);
        }
        for (target, token) in &request.unreachable {
            self.unreachable.insert(target.clone(), *token);
        }
        for report in &request.reports {
            self.record_report(now, report.clone());
        }
    }

    /// Records the report of a target. Reports of earlier incarnations, outdated reports and those with fields out of
    /// range are dropped.
    pub(super) fn record_report(&mut self, now: Instant, report: TargetReport) {
        if report.check().is_err() {
            return;
        }
        let (record, sequence, is_leaving) = match report {
            TargetReport::Present {
                record,
                sequence,
                is_leaving,
            } => (record, sequence, is_leaving),
            TargetReport::Gone { id, life } => {
                self.record_departure(id, life);
                return;
            }
        };
        let known = self.targets.get(&record.id);
        let is_stale =
            known.is_some_and(|known| (record.life, sequence) <= (known.record.life, known.sequence));
        if is_stale {
            return;
        }
        // The views of a new leader say of a target that has not reported to it that it stays.
        let is_news = known.map_or(is_leaving, |known| {
            known.record != record || known.is_leaving != is_leaving
        });
        self.change_count += u32::from(is_news);
        self.to_forget.remove(&record.id);
        self.unreachable.remove(&record.id);
        let known = ObservedTarget {
            record,
            sequence,
            is_leaving,
            last_report: now,
        };
        self.targets.insert(known.record.id.clone(), known);
    }

    /// Drops entries that timed out and determines the targets to forget. A departed target without an owner is forgotten when it
    /// has not reported for the timeout, in which this instance has led all the while.
    pub(super) fn expire(
        &mut self,
        now: Instant,
        entry_timeout: Duration,
        target_timeout: Duration,
        elected_at: Instant,
        state: &FleetState,
    ) {
        let owned = state.targets();
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| now.since(entry.last_seen) < entry_timeout);
        self.change_count += (before - self.entries.len()) as u32;
        self.unreachable
            .retain(|target, token| owned.get(target).is_some_and(|owned| owned.token == *token));
        let has_led_long = now.since(elected_at) >= target_timeout;
        let unowned = state.leaving().keys();
        let unowned = unowned.filter(|target| has_led_long && !owned.contains_key(*target));
        for target in self.unreachable.keys().chain(unowned) {
            let is_reported = self
                .targets
                .get(target)
                .is_some_and(|known| now.since(known.last_report) < target_timeout);
            if !is_reported {
                self.to_forget.insert(target.clone());
            }
        }
        for target in &self.to_forget {
            self.targets.remove(target);
            self.unreachable.remove(target);
        }
        self.pending_moves.retain(|target| owned.contains_key(target));
        self.released
            .retain(|target, token| owned.get(target).is_some_and(|owned| owned.token == *token));
    }

    /// Returns whether the entry of `owner` is live in the same incarnation.
    pub(super) fn is_live(&self, owner: &Owner) -> bool {
        self.entries
            .get(&owner.entry)
            .is_some_and(|entry| entry.info.incarnation == owner.incarnation)
    }

    /// Returns the entries of `data_centre` that may own targets.
    pub(super) fn eligible_owners(&self, data_centre: &DataCentre) -> impl Iterator<Item = &EntryInfo> {
        let infos = self.entries.values().map(|entry| &entry.info);
        infos.filter(move |info| info.data_centre == *data_centre && !info.is_leaving)
    }

    fn record_departure(&mut self, id: TargetId, life: Option<Incarnation>) {
        let is_earlier_life = match (self.targets.get(&id), life) {
            (Some(known), Some(life)) => life < known.record.life,
            _ => false,
        };
        if !is_earlier_life {
            self.to_forget.insert(id);
            self.change_count += 1;
        }
    }
}
