use std::sync::Arc;

use kqr_membership::{Cell, InstanceIncarnation};
use kqr_types::{CellView, Epoch, Incarnation, InstanceId, Instant, MemberState};

use super::clock::Clock;

/// One instance, in its present or latest life.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Node {
    pub(super) id: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) clock: Clock,
    /// The machine, or `None` after a crash.
    pub(super) cell: Option<Arc<Cell>>,
    /// Epoch that was put out last in this life.
    pub(super) epoch: Epoch,
    /// Epoch of the latest lease.
    pub(super) leased_epoch: Epoch,
    /// End of the latest lease, on the own clock.
    pub(super) leased_until: Instant,
}

impl Node {
    pub(super) fn life(&self) -> InstanceIncarnation {
        InstanceIncarnation {
            instance: self.id.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Begins the life `incarnation`.
    pub(super) fn start(&mut self, incarnation: Incarnation, cell: Cell) {
        self.incarnation = incarnation;
        self.cell = Some(Arc::new(cell));
        self.epoch = Epoch(0);
    }

    pub(super) fn crash(&mut self) {
        self.cell = None;
        self.leased_until = Instant(0);
    }

    /// Returns the state of this life in the view that it has installed.
    pub(super) fn member_state(&self) -> Option<MemberState> {
        let view = self.cell.as_ref()?.view();
        member_state(view, &self.life())
    }
}

/// Returns the state of `life` in `view`.
pub(super) fn member_state(view: &CellView, life: &InstanceIncarnation) -> Option<MemberState> {
    let member = view.member(&life.instance)?;
    (member.incarnation == life.incarnation).then_some(member.state)
}
