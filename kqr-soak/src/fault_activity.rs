use std::time::{Duration, Instant};

/// Time after the last fault within which violations may be an effect of it.
const QUIET_PERIOD: Duration = Duration::from_secs(3);

/// Record of when faults beyond normal operation were active. Some violations count only without such a
/// fault: a graceful shutdown alone, for example, must not interrupt an exchange.
#[derive(Clone, Debug, Default)]
pub struct FaultActivity {
    active_count: usize,
    last_change: Option<Instant>,
}

impl FaultActivity {
    /// Records that a fault starts.
    pub fn record_start(&mut self, now: Instant) {
        self.active_count += 1;
        self.last_change = Some(now);
    }

    /// Records that a fault has ended.
    pub fn record_end(&mut self, now: Instant) {
        self.active_count = self.active_count.saturating_sub(1);
        self.last_change = Some(now);
    }

    /// Returns whether no fault was active since `from` or within the `QUIET_PERIOD` before it.
    pub fn is_fault_free_since(&self, from: Instant) -> bool {
        self.active_count == 0
            && self
                .last_change
                .is_none_or(|last_change| last_change + QUIET_PERIOD < from)
    }
}
