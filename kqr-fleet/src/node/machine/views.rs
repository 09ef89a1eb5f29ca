//! What the leader tells entries: the catalog in parts, and views of entries, targets and control instances.

use std::hash::{DefaultHasher, Hash, Hasher};

use kqr_types::Instant;

use super::FleetNode;
use crate::{
    CatalogPart, EntryInfo, PackedCatalog, SyncReply, SyncRequest, SyncView, TargetGrant, ViewRevision,
};

impl FleetNode {
    /// Records the state of an entry and returns the updates that it needs.
    pub fn sync(&mut self, now: Instant, request: &SyncRequest) -> SyncReply {
        if !self.holds_lease(now) {
            let leader = self.leader();
            return SyncReply::NotLeader { leader };
        }
        self.observed.record_sync(now, request);
        let number = self.revision();
        let is_due = self.is_view_complete(now) && number != request.view.number;
        SyncReply::Current {
            catalog: self.catalog_part(request),
            view: is_due.then(|| self.view(request, number)),
        }
    }

    /// Returns whether all owners of targets have sent a request to this leader, or have had the time to.
    pub(super) fn is_view_complete(&self, now: Instant) -> bool {
        let Some(elected_at) = self.elected_at else {
            return false;
        };
        let mut owners = self.state.targets().values().map(|target| &target.owner.entry);
        let have_synced = owners.all(|owner| self.observed.entries.contains_key(owner));
        let are_owners_known = !self.state.targets().is_empty() && have_synced;
        are_owners_known || now.since(elected_at) >= self.options.leader_grace
    }

    /// Returns a number that changes whenever the view of an entry may change.
    fn revision(&self) -> u64 {
        let term = self.agreement.role().term.0;
        (term << 40) + (self.applied.0 << 20) + u64::from(self.observed.change_count)
    }

    /// Returns the next part of the catalog, if the entry's is older or missing.
    fn catalog_part(&mut self, request: &SyncRequest) -> Option<CatalogPart> {
        let catalog = self.state.catalog()?;
        if request.catalog.is_some_and(|known| known >= catalog.version) {
            return None;
        }
        let is_packed = self.packed.as_ref().map(PackedCatalog::version) == Some(catalog.version);
        if !is_packed {
            // Without a packed catalog the entry keeps its own, and asks again.
            match PackedCatalog::pack_for_entry(catalog) {
                Ok(packed) => self.packed = Some(packed),
                Err(error) => {
                    self.packed = None;
                    self.pack_failure = Some(format!("can't pack catalog {}: {error}", catalog.version));
                }
            }
        }
        let packed = self.packed.as_ref()?;
        Some(packed.part_after(request.catalog_progress))
    }

    fn view(&self, request: &SyncRequest, number: u64) -> SyncView {
        let entry = &request.entry;
        let mut owned = Vec::new();
        for (id, target) in self.state.targets() {
            let is_own = target.owner.entry == entry.id && target.owner.incarnation == entry.incarnation;
            if !is_own || self.observed.to_forget.contains(id) {
                continue;
            }
            let known = self.observed.targets.get(id);
            owned.push(TargetGrant {
                record: target.record.clone(),
                token: target.token,
                is_leaving: self.state.is_leaving(&target.record)
                    || known.is_some_and(|known| known.is_leaving),
                is_evacuated: self.state.evacuated().contains(&target.record.data_centre),
                must_release: self.observed.pending_moves.contains(id),
            });
        }
        let entries: Vec<EntryInfo> = self
            .observed
            .entries
            .values()
            .map(|entry| entry.info.clone())
            .collect();
        let revision = ViewRevision {
            number,
            entries: digest(&entries),
        };
        let is_list_known = request.view.entries == revision.entries;
        let members = self.agreement.configuration().members();
        SyncView {
            revision,
            entries: (!is_list_known).then_some(entries),
            owned,
            controls: members.map(|member| member.instance.clone()).collect(),
        }
    }
}

/// Returns a digest of the list of live entries. It is never that of a missing list.
fn digest(entries: &[EntryInfo]) -> u64 {
    let mut hasher = DefaultHasher::new();
    entries.hash(&mut hasher);
    hasher.finish().max(1)
}
