use kqr_types::TargetId;
use serde::{Deserialize, Serialize};

use crate::{Catalog, Owner, TargetRecord};

/// A target goes to an owner; the token rises with each handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The target.
    pub record: TargetRecord,
    /// Its new owner.
    pub owner: Owner,
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the catalog if its version is higher than the one in force.
    Replace(Box<Catalog>),
    /// Hands targets to owners.
    HandOver(Vec<Handover>),
    /// Forgets targets that have ended.
    Forget(Vec<TargetId>),
}
