use kqr_agreement::{Index, Machine, Role, VoterId};
use kqr_types::Instant;

use crate::Founding;

/// The group that an instance belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Group {
    pub(crate) founding: Founding,
    pub(crate) machine: Machine,
    /// When a leader was last known.
    pub(crate) led: Instant,
    /// The leader that another instance told of.
    pub(crate) hint: Option<VoterId>,
    /// Index up to which the log is compacted.
    pub(crate) compacted: Index,
    /// Whether a leader was ever known, or the log was restored.
    pub(crate) was_led: bool,
}

impl Group {
    pub(crate) fn leader(&self) -> Option<VoterId> {
        self.machine.role().leader
    }

    /// Returns the leader, or the one that another instance told of.
    pub(crate) fn likely_leader(&self) -> Option<VoterId> {
        self.leader().or_else(|| self.hint.clone())
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.machine.role().role == Role::Leader
    }
}
