use serde::{Deserialize, Serialize};

use crate::Outcome;

/// What is kept of a key without its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TombstoneKind {
    /// The job ended with this outcome.
    Ended(Outcome),
    /// The key was never seen, and was promised to another data centre.
    Renounced,
}

impl TombstoneKind {
    /// Returns what is known of whether the key was run, here or in another data centre.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Ended(outcome) => outcome,
            Self::Renounced => Outcome::MayHaveRun,
        }
    }
}
