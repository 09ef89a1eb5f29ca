use serde::{Deserialize, Serialize};

use super::{ChangeId, OperatorName, Version};
use crate::tree::SettingPath;

/// Assignment or removal of values in the tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Path of a value; a removal may also refer to a node or group.
    pub path: SettingPath,
    /// New value, or `None` to remove every value at or below the path.
    pub value: Option<String>,
}

/// Operation that a command requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Applies edits in order.
    Edit(Vec<Edit>),
    /// Creates a new version with the content of an older one.
    Rollback(Version),
}

/// Request of an operator to change the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Id of the change, which makes the command idempotent.
    pub change: ChangeId,
    /// Version that the change is based on.
    pub base: Version,
    /// Operator who requests the change.
    pub operator: OperatorName,
    /// Wall-clock time of the request, in milliseconds since the Unix epoch. Informational only: no decision
    /// depends on it.
    pub unix_ms: u64,
    /// Whether every change after the base counts as a conflict, rather than only changes to the same nodes.
    pub is_exclusive: bool,
    /// Requested operation.
    pub action: Action,
}
