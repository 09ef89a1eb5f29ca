use kqr_agreement::{Index, Machine, Role, VoterId};
use kqr_types::Instant;

use crate::Founding;

/// State of this instance in the group that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Group {
    pub(crate) founding: Founding,
    pub(crate) machine: Machine,
    /// Last time at which a leader was known.
    pub(crate) last_led: Instant,
    /// Leader reported by another instance.
    pub(crate) leader_hint: Option<VoterId>,
    /// Index up to which the log is compacted.
    pub(crate) compacted: Index,
    /// Whether a leader has ever been known, or the log was restored.
    pub(crate) has_had_leader: bool,
}

impl Group {
    pub(crate) fn leader(&self) -> Option<VoterId> {
        self.machine.role().leader
    }

    /// Returns the known leader, or else the one that another instance reported.
    pub(crate) fn likely_leader(&self) -> Option<VoterId> {
        self.leader().or_else(|| self.leader_hint.clone())
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.machine.role().role == Role::Leader
    }
}
