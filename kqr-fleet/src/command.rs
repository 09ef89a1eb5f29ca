use kqr_types::{Incarnation, TargetId};
use serde::{Deserialize, Serialize};

use crate::{Catalog, Evacuation, Owner, TargetRecord};

/// Assignment of a target to an owner. Each handover issues a higher fencing token.
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
    /// Assigns targets to owners.
    HandOver(Vec<Handover>),
    /// Removes targets that have ended.
    Forget(Vec<TargetId>),
    /// Records what targets report about themselves under the same ownership.
    Update(Vec<TargetRecord>),
    /// Records that an incarnation of a target is about to leave.
    Leave(TargetId, Incarnation),
    /// Begins or finishes the evacuation of a data centre.
    Evacuate(Evacuation),
}
