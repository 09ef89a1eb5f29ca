use serde::{Deserialize, Serialize};

use crate::{Entry, Snapshot, Term, VoterId};

/// A change of the durable state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Record {
    /// The current term and the vote in it.
    Vote {
        /// Current term.
        term: Term,
        /// The candidate that got the vote in the term.
        voted_for: Option<VoterId>,
    },
    /// Entries that replace all entries from the first one's index on. Never empty.
    Append(Vec<Entry>),
    /// A snapshot that replaces all entries up to its index.
    Snapshot(Snapshot),
}
