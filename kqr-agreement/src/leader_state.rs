use std::collections::BTreeMap;

use kqr_types::Instant;

use crate::{Index, RequestId, VoterId, progress::Progress, round_tracker::RoundTracker};

/// What a leader keeps for its term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<VoterId, Progress>,
    pub(crate) rounds: RoundTracker,
    pub(crate) next_heartbeat: Instant,
    /// The leader's first entry; once it is committed, so is all that earlier leaders committed.
    pub(crate) first_index: Index,
    /// Requests whose entries are not committed yet, by index.
    pub(crate) proposals: BTreeMap<Index, RequestId>,
    /// Reads that wait for a round to be answered.
    pub(crate) reads: Vec<PendingRead>,
}

/// A read that waits until a majority has answered a round.
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
