use std::collections::BTreeMap;

use kqr_types::Instant;

use crate::{Index, RequestId, VoterId, progress::Progress, round_tracker::RoundTracker};

/// State that a leader keeps during its term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<VoterId, Progress>,
    pub(crate) rounds: RoundTracker,
    pub(crate) next_heartbeat: Instant,
    /// Index of the first entry of the leader's term. Its commit implies that all entries committed by
    /// earlier leaders are committed here too.
    pub(crate) first_index: Index,
    /// Requests by the index of their uncommitted entries.
    pub(crate) proposals: BTreeMap<Index, RequestId>,
    /// Reads that wait for a majority to acknowledge a round.
    pub(crate) reads: Vec<PendingRead>,
}

/// A read that waits until a majority has acknowledged a round and its index is applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingRead {
    pub(crate) request: RequestId,
    pub(crate) round: u64,
    pub(crate) index: Index,
}

impl LeaderState {
    pub(crate) const fn new(now: Instant, first_index: Index) -> Self {
        Self {
            progress: BTreeMap::new(),
            rounds: RoundTracker::new(now),
            next_heartbeat: now,
            first_index,
            proposals: BTreeMap::new(),
            reads: Vec::new(),
        }
    }
}
