use std::fmt;

use kqr_types::CellView;
use serde::{Deserialize, Serialize};

/// A reading of the wall clock, in milliseconds since the Unix epoch. Its accuracy is that of the instance's
/// clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallClock(pub u64);

impl fmt::Display for WallClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// Replicated state of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct CellState {
    /// Membership.
    pub(crate) view: CellView,
    /// Time from which the members together have a record of every job.
    pub(crate) since: WallClock,
}

impl CellState {
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        serde_json::to_vec(self).ok()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
