use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_types::{DataCentre, Incarnation, InstanceId, Instant, TargetId};

use crate::{EntryInfo, FencingToken, OwnedTarget, Owner, SyncRequest, TargetRecord, TargetReport};

/// What the leader heard of an entry.
#[derive(Clone, Debug)]
pub(super) struct KnownEntry {
    pub(super) info: EntryInfo,
    /// When it last asked, or another entry last heard it.
    pub(super) alive: Instant,
}

/// What the leader heard of a target.
#[derive(Clone, Debug)]
pub(super) struct KnownTarget {
    pub(super) record: TargetRecord,
    sequence: u64,
    pub(super) is_leaving: bool,
    /// When it last reported, here or at its owner.
    pub(super) heard: Instant,
}

/// What the leader knows without the log. A new leader hears it all again within seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Directory {
    pub(super) entries: BTreeMap<InstanceId, KnownEntry>,
    pub(super) targets: BTreeMap<TargetId, KnownTarget>,
    /// Targets that their owners gave back.
    pub(super) released: BTreeMap<TargetId, FencingToken>,
    /// Targets that go to another owner as soon as nothing runs there.
    pub(super) moving: BTreeSet<TargetId>,
    /// Targets that ended, or that their owners miss.
    pub(super) gone: BTreeSet<TargetId>,
    unreachable: BTreeMap<TargetId, FencingToken>,
    /// Counts changes that entries have to hear of.
    pub(super) changes: u32,
}

impl Directory {
    /// Takes what an entry says of itself, of its siblings and of targets.
    pub(super) fn take_sync(&mut self, now: Instant, request: &SyncRequest) {
        let entry = &request.entry;
        let known = KnownEntry {
            info: entry.clone(),
            alive: now,
        };
        let former = self.entries.insert(entry.id.clone(), known);
        if former.is_none_or(|former| former.info != *entry) {
            self.changes += 1;
        }
        for (id, incarnation) in &request.heard {
            if let Some(sibling) = self.entries.get_mut(id)
                && sibling.info.incarnation == *incarnation
            {
                sibling.alive = now;
            }
        }
        for (target, token) in &request.released {
            self.released.insert(target.clone(), *token);
        }
        for (target, token) in &request.unreachable {
            self.unreachable.insert(target.clone(), *token);
        }
        for report in &request.reports {
            self.take_report(now, report.clone());
        }
    }

    /// Takes what a target says of itself; reports of earlier lives and late ones are dropped.
    pub(super) fn take_report(&mut self, now: Instant, report: TargetReport) {
        let (record, sequence, is_leaving) = match report {
            TargetReport::Present {
                record,
                sequence,
                is_leaving,
            } => (record, sequence, is_leaving),
            TargetReport::Gone { id, life } => {
                self.take_end(id, life);
                return;
            }
        };
        let known = self.targets.get(&record.id);
        if let Some(known) = known {
            let is_late = (record.life, sequence) <= (known.record.life, known.sequence);
            if is_late {
                return;
            }
            let is_same = known.record == record && known.is_leaving == is_leaving;
            self.changes += u32::from(!is_same);
        }
        self.gone.remove(&record.id);
        self.unreachable.remove(&record.id);
        let known = KnownTarget {
            record,
            sequence,
            is_leaving,
            heard: now,
        };
        self.targets.insert(known.record.id.clone(), known);
    }

    /// Drops entries that are no longer alive, and finds the targets that are to be forgotten.
    pub(super) fn expire(
        &mut self,
        now: Instant,
        entry_timeout: Duration,
        target_timeout: Duration,
        owned: &BTreeMap<TargetId, OwnedTarget>,
    ) {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| now.since(entry.alive) < entry_timeout);
        self.changes += (before - self.entries.len()) as u32;
        self.unreachable
            .retain(|target, token| owned.get(target).is_some_and(|owned| owned.token == *token));
        for target in self.unreachable.keys() {
            let is_reported = self
                .targets
                .get(target)
                .is_some_and(|known| now.since(known.heard) < target_timeout);
            if !is_reported {
                self.gone.insert(target.clone());
            }
        }
        for target in &self.gone {
            self.targets.remove(target);
            self.unreachable.remove(target);
        }
        self.moving.retain(|target| owned.contains_key(target));
        self.released
            .retain(|target, token| owned.get(target).is_some_and(|owned| owned.token == *token));
    }

    /// Returns whether the life of an entry that `owner` names is alive.
    pub(super) fn is_alive(&self, owner: &Owner) -> bool {
        self.entries
            .get(&owner.entry)
            .is_some_and(|entry| entry.info.incarnation == owner.incarnation)
    }

    /// Returns the entries of `data_centre` that take targets.
    pub(super) fn takers(&self, data_centre: &DataCentre) -> impl Iterator<Item = &EntryInfo> {
        let infos = self.entries.values().map(|entry| &entry.info);
        infos.filter(move |info| info.data_centre == *data_centre && !info.is_leaving)
    }

    fn take_end(&mut self, id: TargetId, life: Option<Incarnation>) {
        let is_former = match (self.targets.get(&id), life) {
            (Some(known), Some(life)) => life < known.record.life,
            _ => false,
        };
        if !is_former {
            self.gone.insert(id);
            self.changes += 1;
        }
    }
}
