use std::fmt;

use kqr_types::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// Whose state a folder holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the replicated log, such as `settings`.
    pub log: String,
    /// Instance.
    pub instance: InstanceId,
}

/// Owner of a folder and the incarnation that the folder got when it was created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Owner.
    pub owner: Owner,
    /// Incarnation of the storage, part of the voter's identity.
    pub storage: Incarnation,
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {}#{}",
            self.owner.log, self.owner.instance, self.storage
        )
    }
}
