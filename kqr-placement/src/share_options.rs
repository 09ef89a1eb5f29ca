use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Timing of share leases.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShareOptions {
    /// Duration of a lease at its holder, measured from the send time of the report that it answers.
    pub lease: Duration,
    /// Interval between two reports.
    pub period: Duration,
    /// Fraction by which the allocator extends a lease to allow for clocks that run at different rates.
    pub drift: f64,
}

impl ShareOptions {
    /// Returns the duration after which the allocator may assume that a holder's lease has expired.
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
