use std::time::Duration;

/// Times and limits of the [`FleetNode`](super::FleetNode).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetOptions {
    /// Time without a sign of an entry after which its targets get other owners: four lost exchanges.
    pub entry_timeout: Duration,
    /// Time after an election before an entry may be missed: entries look for the new leader meanwhile.
    pub leader_grace: Duration,
    /// Time that a target's owner misses it, without a report, before it is forgotten.
    pub target_timeout: Duration,
    /// Time without a message after which a voter may be replaced by a learner.
    pub voter_timeout: Duration,
    /// Targets that an entry owns at most, for each core that it has, while others have power left: polls and runs of a
    /// target take about 2 thousandths of a core, and an entry needs as much again for its callers.
    pub max_targets_per_core: u64,
    /// Number of voters that is aimed at.
    pub voter_count: usize,
    /// Applied commands after which the log is compacted.
    pub compact_after_commands: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            entry_timeout: Duration::from_millis(800),
            leader_grace: Duration::from_millis(1500),
            target_timeout: Duration::from_secs(6),
            voter_timeout: Duration::from_secs(9),
            max_targets_per_core: 80,
            voter_count: 3,
            compact_after_commands: 400,
        }
    }
}
