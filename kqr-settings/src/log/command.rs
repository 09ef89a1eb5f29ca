use serde::{Deserialize, Serialize};

use super::{ChangeId, OperatorName, Version};
use crate::tree::SettingPath;

/// One edit of the tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Path of a value; for a removal also of a node or group.
    pub path: SettingPath,
    /// New value, or `None` to remove all that stands at and below the path.
    pub value: Option<String>,
}

/// What a command asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Applies edits in their order.
    Edit(Vec<Edit>),
    /// Makes a new version with the content of an older one.
    Rollback(Version),
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Name of the change.
    pub change: ChangeId,
    /// Version that it was made against.
    pub base: Version,
    /// Who asks for it.
    pub operator: OperatorName,
    /// Wall-clock time at which it was asked for, in milliseconds since the Unix epoch; shown, never decided by.
    pub unix_ms: u64,
    /// Whether any version after the base beats the change, and not only one that changed the same nodes.
    pub is_exclusive: bool,
    /// What it asks for.
    pub action: Action,
}
