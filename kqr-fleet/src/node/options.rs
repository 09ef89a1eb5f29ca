use std::time::Duration;

/// Timing and limits of the [`FleetNode`](super::FleetNode).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetOptions {
    /// Time without contact with an entry after which its targets get other owners. Four exchange intervals.
    pub entry_timeout: Duration,
    /// Time after an election that entries need to find the new leader. Until then none counts as lost.
    pub leader_grace: Duration,
    /// Time without a report after which a target that its owner can't reach is removed.
    pub target_timeout: Duration,
    /// Time without a message after which a learner replaces a voter. Together with an election before it and the join of the
    /// successor it stays below the shortest time, 4 s, after which another voter may be lost.
    pub voter_timeout: Duration,
    /// Time after its election for which a leader waits for the first answer of a voter before a learner replaces it. Several
    /// heartbeats.
    pub answer_timeout: Duration,
    /// Time without a message after which a learner is removed.
    pub learner_timeout: Duration,
    /// Maximum number of targets of an entry per core, while other entries have capacity left. Polling a
    /// target and running its tasks takes about 2 thousandths of a core, and an entry needs as much again for
    /// its callers.
    pub max_targets_per_core: u64,
    /// Number of voters below which learners are promoted.
    pub voter_count: usize,
    /// Number of applied commands after which the log is compacted.
    pub compact_after_commands: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            entry_timeout: Duration::from_millis(800),
            leader_grace: Duration::from_millis(1500),
            target_timeout: Duration::from_secs(6),
            voter_timeout: Duration::from_millis(1500),
            answer_timeout: Duration::from_millis(500),
            learner_timeout: Duration::from_secs(60),
            max_targets_per_core: 80,
            voter_count: 3,
            compact_after_commands: 400,
        }
    }
}
