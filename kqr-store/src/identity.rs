use std::fmt;

use kqr_types::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// The member of a replicated log whose state a folder holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the replicated log, such as `settings`.
    pub log: String,
    /// Instance that is the member.
    pub instance: InstanceId,
}

/// Identity of a folder: its owner, and the incarnation that it got when it was created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Owner of the folder.
    pub owner: Owner,
    /// Incarnation of the storage. It is part of the voter's identity, so that a lost and recreated folder
    /// makes another voter.
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
