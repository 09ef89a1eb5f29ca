use kqr_types::InstanceId;
use serde::{Deserialize, Serialize};

/// Failure of a call to a control instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlCallFailure {
    /// The leader, if another instance is known to lead.
    pub leader: Option<InstanceId>,
    /// Whether the outcome is unknown, so that the call may have had its effect.
    pub is_unknown: bool,
}

impl ControlCallFailure {
    /// Returns the failure of a call without an answer.
    pub(crate) const fn no_answer() -> Self {
        Self {
            leader: None,
            is_unknown: true,
        }
    }

    /// Returns the leader at which to repeat the call, which had no effect.
    pub(crate) fn next_leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref().filter(|_| !self.is_unknown)
    }
}
