use std::fmt;

use kqr_types::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// Identity of a voter or learner: an instance and the incarnation of its storage.
///
/// An instance that lost its storage gets a new incarnation, so that it can't vote twice in a term.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId {
    /// Instance.
    pub instance: InstanceId,
    /// Incarnation of the instance's storage.
    pub storage: Incarnation,
}

impl VoterId {
    /// Creates the identity of `instance` with the storage incarnation `storage`.
    pub const fn new(instance: InstanceId, storage: Incarnation) -> Self {
        Self { instance, storage }
    }
}

impl fmt::Display for VoterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.storage)
    }
}
