use kqr_types::Instant;

use crate::Index;

/// What the leader knows of another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Progress {
    /// Highest index known to be in the member's log.
    pub(crate) matched: Index,
    /// Next index to send.
    pub(crate) next: Index,
    /// Latest round that the member has answered.
    pub(crate) round: u64,
    /// When a snapshot was last sent that has not been answered.
    pub(crate) snapshot_sent: Option<Instant>,
}

impl Progress {
    pub(crate) const fn new(next: Index) -> Self {
        Self {
            matched: Index(0),
            next,
            round: 0,
            snapshot_sent: None,
        }
    }
}
