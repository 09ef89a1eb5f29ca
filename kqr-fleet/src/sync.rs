use kqr_types::{Incarnation, InstanceId, TargetId};
use serde::{Deserialize, Serialize};

use crate::{Catalog, CatalogVersion, EntryInfo, FencingToken, TargetRecord, TargetReport};

/// What an entry tells the leading control instance, several times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The entry.
    pub entry: EntryInfo,
    /// Version of its catalog.
    pub catalog: Option<CatalogVersion>,
    /// Revision of the view that it has.
    pub view: u64,
    /// Targets that it has given back: nothing runs there by its orders.
    pub released: Vec<(TargetId, FencingToken)>,
    /// Siblings that the entry has heard a short time ago, with their lives.
    pub heard: Vec<(InstanceId, Incarnation)>,
    /// Reports of targets that it has taken since the last exchange.
    pub reports: Vec<TargetReport>,
    /// Owned targets that have not answered for long.
    pub unreachable: Vec<(TargetId, FencingToken)>,
}

/// A target with the token of its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetGrant {
    /// The target.
    pub record: TargetRecord,
    /// Token of the ownership.
    pub token: FencingToken,
    /// Whether the target has said that it is about to leave.
    pub is_leaving: bool,
    /// Whether the owner is to give the target back as soon as nothing runs there.
    pub must_release: bool,
}

/// What an entry needs to know of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncView {
    /// Revision of this view.
    pub revision: u64,
    /// The live entries.
    pub entries: Vec<EntryInfo>,
    /// The targets of the asking entry.
    pub owned: Vec<TargetGrant>,
    /// The control instances.
    pub controls: Vec<InstanceId>,
}

/// Answer to a [`SyncRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SyncReply {
    /// The called instance leads and is in touch with a quorum.
    Current {
        /// The catalog, if the entry has an older one.
        catalog: Option<Box<Catalog>>,
        /// The view, if the entry has an older one.
        view: Option<SyncView>,
    },
    /// Another instance may lead.
    NotLeader {
        /// The leader, if it is known.
        leader: Option<InstanceId>,
    },
}
