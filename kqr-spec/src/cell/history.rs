use std::collections::{BTreeMap, BTreeSet};

use kqr_membership::{InstanceIncarnation, WallClock};
use kqr_types::{CellView, Epoch, MemberState};

use super::{CellInvariant, node::member_state};

/// A violated invariant, and how.
pub(super) type Violated = (CellInvariant, String);

/// What has happened so far, as far as the invariants need it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct History {
    /// Each view that was installed, and since when its members remember.
    views: BTreeMap<Epoch, (CellView, WallClock)>,
    /// Copies that were complete.
    synced: BTreeSet<(InstanceIncarnation, Epoch)>,
    /// Highest epoch that a lease was held of.
    leased: Epoch,
}

impl History {
    pub(super) fn note_synced(&mut self, life: InstanceIncarnation, epoch: Epoch) {
        self.synced.insert((life, epoch));
    }

    /// Notes a lease of `epoch`; returns what it violates.
    pub(super) fn note_lease(&mut self, life: &InstanceIncarnation, epoch: Epoch) -> Option<Violated> {
        let earlier = self.leased;
        if epoch < earlier {
            let what = format!("{life} holds a lease of epoch {epoch} after one of {earlier}");
            return Some((CellInvariant::LeasedEpochsGrow, what));
        }
        self.leased = epoch;
        None
    }

    /// Notes an installed view; returns what it violates.
    pub(super) fn note_view(&mut self, view: &CellView, since: WallClock) -> Option<Violated> {
        let epoch = view.epoch;
        if let Some((known, _)) = self.views.get(&epoch) {
            let what = || format!("epoch {epoch} has another view");
            return (known != view).then(|| (CellInvariant::OneView, what()));
        }
        let uncopied = self.uncopied(view, since);
        self.views.insert(epoch, (view.clone(), since));
        let what = |life| format!("{life} is full in epoch {epoch} without a copy");
        uncopied.map(|life| (CellInvariant::CopiedBeforeFull, what(life)))
    }

    /// Returns a full member that was not full before, and had not copied what it missed.
    fn uncopied(&self, view: &CellView, since: WallClock) -> Option<InstanceIncarnation> {
        let (_, (earlier, remembered)) = self.views.range(..view.epoch).next_back()?;
        if since > *remembered {
            return None;
        }
        for member in &view.members {
            let life = InstanceIncarnation::of(member);
            let was_full = member_state(earlier, &life) == Some(MemberState::Full);
            let is_full = member.state == MemberState::Full;
            if is_full && !was_full && !self.synced.contains(&(life.clone(), earlier.epoch)) {
                return Some(life);
            }
        }
        None
    }
}
