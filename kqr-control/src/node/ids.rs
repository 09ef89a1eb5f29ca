use serde::{Deserialize, Serialize};

/// Identifier of a pending call, assigned by the driver of the [`Node`](super::Node).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Identifier of a settings stream, assigned by the driver of the [`Node`](super::Node).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(pub u64);
