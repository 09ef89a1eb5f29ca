use serde::{Deserialize, Serialize};

use crate::Outcome;

/// What a tombstone records about a key whose job is not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TombstoneKind {
    /// The job ended with this outcome.
    Ended(Outcome),
    /// The key was never seen, and this data centre promised another one not to run it.
    Renounced,
}

impl TombstoneKind {
    /// Returns whether the key was run, here or in another data centre, as far as it is known.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Ended(outcome) => outcome,
            Self::Renounced => Outcome::MayHaveRun,
        }
    }
}
