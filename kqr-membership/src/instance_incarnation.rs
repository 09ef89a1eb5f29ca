use std::fmt;

use kqr_types::{CellMember, Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// Identity of one incarnation of an instance: the instance between two restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceIncarnation {
    /// Instance.
    pub instance: InstanceId,
    /// Number of the incarnation.
    pub incarnation: Incarnation,
}

impl InstanceIncarnation {
    /// Returns the incarnation of `member`.
    pub fn of(member: &CellMember) -> Self {
        Self {
            instance: member.id.clone(),
            incarnation: member.incarnation,
        }
    }

    /// Returns whether `self` is a later incarnation of the same instance as `other`.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.instance == other.instance && self.incarnation > other.incarnation
    }
}

impl fmt::Display for InstanceIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}
