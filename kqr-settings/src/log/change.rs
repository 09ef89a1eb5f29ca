use serde::{Deserialize, Serialize};

use super::{ChangeId, Edit, OperatorName, Version};
use crate::tree::Digest;

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that it made.
    pub version: Version,
    /// Name of the change.
    pub change: ChangeId,
    /// Version that it was made against.
    pub base: Version,
    /// Who asked for it.
    pub operator: OperatorName,
    /// Wall-clock time at which it was asked for, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Digest of the tree that it made.
    pub digest: Digest,
    /// Values that it set or removed, one edit a value.
    pub edits: Vec<Edit>,
    /// The same paths with their values before the change.
    pub before: Vec<Edit>,
}
