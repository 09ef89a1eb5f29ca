use serde::{Deserialize, Serialize};

use crate::{Entry, Snapshot, Term, VoterId};

/// A change to the [`DurableState`](crate::DurableState).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Record {
    /// The current term and the vote that was cast in it.
    Vote {
        /// Current term.
        term: Term,
        /// The candidate that this member voted for in the term.
        voted_for: Option<VoterId>,
    },
    /// Entries that replace the log from the index of the first one on. Never empty.
    Append(Vec<Entry>),
    /// A snapshot that replaces all entries up to its index.
    Snapshot(Snapshot),
}
