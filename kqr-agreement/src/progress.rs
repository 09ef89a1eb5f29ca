use kqr_types::Instant;

use crate::Index;

/// What the leader knows of another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Progress {
    /// Highest index known to be in the member's log.
    pub(crate) match_index: Index,
    /// Next index to send.
    pub(crate) next_index: Index,
    /// Latest round that the member has answered.
    pub(crate) last_round: u64,
    /// When a snapshot was last sent that has not been answered.
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
