use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Times of the leases of shares.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShareOptions {
    /// Time that a lease lasts at its holder, from the report that it answers.
    pub lease: Duration,
    /// Time between two reports.
    pub period: Duration,
    /// Part by which a lease lasts longer at its keeper, for clocks of different rates.
    pub drift: f64,
}

impl ShareOptions {
    /// Returns the time after which the lease of a holder has surely ended.
    pub fn allocator_lease(&self) -> Duration {
        self.lease.mul_f64(1.0 + self.drift)
    }
}

impl Default for ShareOptions {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(2),
            period: Duration::from_millis(100),
            drift: 0.025,
        }
    }
}
