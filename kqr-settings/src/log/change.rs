use serde::{Deserialize, Serialize};

use super::{ChangeId, Edit, OperatorName, Version};
use crate::tree::Digest;

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the change created.
    pub version: Version,
    /// Id of the change.
    pub change: ChangeId,
    /// Version that the change was based on.
    pub base: Version,
    /// Operator who requested the change.
    pub operator: OperatorName,
    /// Wall-clock time of the request, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Digest of the resulting tree.
    pub digest: Digest,
    /// Values that the change set or removed, one edit per path.
    pub edits: Vec<Edit>,
    /// Previous values of the same paths, in the same order.
    pub before: Vec<Edit>,
}
