use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::HybridTime;

/// Furthest that a received reading may be ahead of the own wall clock and still be followed.
const MAX_AHEAD: Duration = Duration::from_secs(60);

/// A hybrid logical clock: each reading is greater than all earlier ones and than all that were received.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

impl HybridClock {
    /// Creates a clock that has read nothing yet.
    pub const fn new() -> Self {
        Self {
            last: AtomicU64::new(0),
        }
    }

    /// Reads the clock when the wall clock shows `unix_us` microseconds since the Unix epoch.
    pub fn read(&self, unix_us: u64) -> HybridTime {
        let wall = HybridTime::from_unix_us(unix_us).bits();
        let step = |last: u64| Some(wall.max(last.saturating_add(1)));
        let last = self.last.fetch_update(Ordering::AcqRel, Ordering::Acquire, step);
        let last = last.unwrap_or_else(|last| last);
        HybridTime::from_bits(wall.max(last.saturating_add(1)))
    }

    /// Takes in a reading received from another process. Returns false if it is too far ahead to be followed.
    pub fn merge(&self, unix_us: u64, received: HybridTime) -> bool {
        let most = unix_us.saturating_add(MAX_AHEAD.as_micros() as u64);
        if received.unix_us() > most {
            return false;
        }
        self.last.fetch_max(received.bits(), Ordering::AcqRel);
        true
    }
}
