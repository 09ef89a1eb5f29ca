use std::time::Duration;

use kqr_types::ByteSize;
use serde::{Deserialize, Serialize};

use crate::Configuration;

/// How a leader ensures that a read is linearizable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReadMode {
    /// A majority acknowledges a round of heartbeats that is sent after the read arrives. Independent of
    /// clocks.
    Index,
    /// No message is needed while the leader holds a lease. Relies on [`Options::drift_per_mille`].
    Lease,
}

/// Timing and limits of the machine. All members must use the same timing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Options {
    /// Initial configuration of an empty log. Empty for a member that joins an existing log.
    pub founding: Configuration,
    /// Minimum time without a message of a leader before a member campaigns.
    pub election_timeout: Duration,
    /// Divisor of the election timeout that gives the range of the random delay of a campaign.
    pub spread_divisor: u32,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Maximum deviation of a clock's rate, in thousandths.
    pub drift_per_mille: u32,
    /// How reads are made linearizable.
    pub reads: ReadMode,
    /// Approximate maximum size of the entries in one message.
    pub max_batch: ByteSize,
    /// Maximum number of entries that a learner may lack when it is promoted.
    pub learner_lag: u64,
    /// Seed of the jitter of election timeouts. Must differ between members.
    pub seed: u64,
}

impl Options {
    /// Returns how long, by the local clock, no other leader can be elected after the leader sent a message
    /// that a majority acknowledged.
    pub fn lease_duration(&self) -> Duration {
        let fast = 1000 + self.drift_per_mille;
        let slow = 1000_u32.saturating_sub(self.drift_per_mille);
        self.election_timeout * slow / fast
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            founding: Configuration::default(),
            election_timeout: Duration::from_millis(600),
            spread_divisor: 1,
            heartbeat: Duration::from_millis(150),
            drift_per_mille: 10,
            reads: ReadMode::Index,
            max_batch: ByteSize(192 * 1024),
            learner_lag: 64,
            seed: 0,
        }
    }
}
