use kqr_types::{Incarnation, InstanceId, TargetId};
use serde::{Deserialize, Serialize};

use crate::{
    CatalogPart, CatalogProgress, CatalogVersion, EntryInfo, FencingToken, TargetRecord, TargetReport,
};

/// Revision of a view of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRevision {
    /// Number that changes whenever the view may change.
    pub number: u64,
    /// Digest of the list of live entries.
    pub entries: u64,
}

/// State that an entry sends to the leading control instance several times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The entry.
    pub entry: EntryInfo,
    /// Version of the entry's catalog.
    pub catalog: Option<CatalogVersion>,
    /// Catalog that the entry is receiving.
    pub catalog_progress: Option<CatalogProgress>,
    /// Revision of the entry's view.
    pub view: ViewRevision,
    /// Targets that the entry has released. None of its tasks run there.
    pub released: Vec<(TargetId, FencingToken)>,
    /// Siblings from which the entry received messages recently, with their incarnations.
    pub heard: Vec<(InstanceId, Incarnation)>,
    /// Reports of targets that the entry received since its last request.
    pub reports: Vec<TargetReport>,
    /// Owned targets that have not answered the entry for a long time.
    pub unreachable: Vec<(TargetId, FencingToken)>,
}

/// A target with its owner's fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetGrant {
    /// The target.
    pub record: TargetRecord,
    /// Fencing token of the ownership.
    pub token: FencingToken,
    /// Whether the target has reported that it is about to leave.
    pub is_leaving: bool,
    /// Whether the data centre of the target is evacuated, so that nothing is started there.
    pub is_evacuated: bool,
    /// Whether the owner must release the target as soon as no task runs there.
    pub must_release: bool,
}

/// View of the fleet for one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncView {
    /// Revision of this view.
    pub revision: ViewRevision,
    /// The live entries, unless the requesting entry has this list.
    pub entries: Option<Vec<EntryInfo>>,
    /// The targets that the requesting entry owns.
    pub owned: Vec<TargetGrant>,
    /// The control instances.
    pub controls: Vec<InstanceId>,
}

/// Answer to a [`SyncRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SyncReply {
    /// The instance is the leader and holds a lease from a quorum.
    Current {
        /// The next part of the catalog in force, if the entry's is older or missing.
        catalog: Option<CatalogPart>,
        /// The current view, if its revision differs from the entry's.
        view: Option<SyncView>,
    },
    /// The instance is not the leader, or its lease has expired.
    NotLeader {
        /// The leader, if it is known.
        leader: Option<InstanceId>,
    },
}
