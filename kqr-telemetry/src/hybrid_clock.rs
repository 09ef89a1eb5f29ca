use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::HybridTime;

/// Maximum lead of a received reading over the local wall clock; a reading further ahead is ignored.
const MAX_LEAD: Duration = Duration::from_secs(60);

/// A hybrid logical clock: each reading is greater than all earlier readings and all merged ones.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

impl HybridClock {
    /// Creates a clock without earlier readings.
    pub const fn new() -> Self {
        Self {
            last: AtomicU64::new(0),
        }
    }

    /// Returns the next reading at the wall-clock time `unix_us`, in microseconds since the Unix epoch.
    pub fn read(&self, unix_us: u64) -> HybridTime {
        let wall = HybridTime::from_unix_us(unix_us).bits();
        let step = |last: u64| Some(wall.max(last.saturating_add(1)));
        let last = self.last.fetch_update(Ordering::AcqRel, Ordering::Acquire, step);
        let last = last.unwrap_or_else(|last| last);
        HybridTime::from_bits(wall.max(last.saturating_add(1)))
    }

    /// Merges a reading received from another process. Returns false, and ignores it, if it is too far ahead of the
    /// wall-clock time `unix_us`.
    pub fn merge(&self, unix_us: u64, received: HybridTime) -> bool {
        let limit_us = unix_us.saturating_add(MAX_LEAD.as_micros() as u64);
        if received.unix_us() > limit_us {
            return false;
        }
        self.last.fetch_max(received.bits(), Ordering::AcqRel);
        true
    }
}
