use kqr_types::Instant;

use crate::Index;

/// Replication progress of another member, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Progress {
    /// Highest index up to which the member's log is known to equal the leader's.
    pub(crate) match_index: Index,
    /// Index of the next entry to send.
    pub(crate) next_index: Index,
    /// Latest round that the member has acknowledged.
    pub(crate) last_round: u64,
    /// Send time of an unanswered snapshot.
    pub(crate) snapshot_sent_at: Option<Instant>,
}

impl Progress {
    pub(crate) const fn new(next_index: Index) -> Self {
        Self {
            match_index: Index(0),
            next_index,
            last_round: 0,
            snapshot_sent_at: None,
        }
    }
}
