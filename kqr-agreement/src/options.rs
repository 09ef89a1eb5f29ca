use std::time::Duration;

use kqr_types::ByteSize;
use serde::{Deserialize, Serialize};

use crate::Configuration;

/// How a leader makes sure that a read reflects all commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReadMode {
    /// A round of heartbeats for each batch of reads. It relies on no clock.
    Index,
    /// No message while a majority has acknowledged the leader recently. It relies on the bound of the clocks' drift.
    Lease,
}

/// Timing and limits of the machine. All members have the same timing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Options {
    /// Configuration of a log that starts empty. A member that joins an existing log has none.
    pub founding: Configuration,
    /// Shortest time without a leader after which a member campaigns.
    pub election_timeout: Duration,
    /// Campaigns are spread over the election timeout divided by this.
    pub spread_divisor: u32,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Largest deviation of a clock's rate, in thousandths.
    pub drift_per_mille: u32,
    /// How reads are made.
    pub reads: ReadMode,
    /// Size of the entries in one message, roughly.
    pub max_batch: ByteSize,
    /// How many entries a learner may lack when it is promoted.
    pub learner_lag: u64,
    /// Seed of the spread of election timeouts, different at each member.
    pub seed: u64,
}

impl Options {
    /// Returns how long after a majority was reached no other leader can have been elected, by the own clock.
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
