use kqr_types::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// Identity of the member that a machine belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub id: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
}
