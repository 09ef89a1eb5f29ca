use serde::{Deserialize, Serialize};

use crate::{Configuration, Index, Term};

/// The application's state after all entries up to an index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the state contains.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Configuration in force at that entry.
    pub configuration: Configuration,
    /// State in the application's encoding.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}
