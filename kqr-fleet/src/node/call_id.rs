use serde::{Deserialize, Serialize};

/// Identifier that the driver assigns to a call to match the answer to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId(pub u64);
