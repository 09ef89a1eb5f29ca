use serde::{Deserialize, Serialize};

/// Number of a call that waits for its answer, given by the shell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId(pub u64);
