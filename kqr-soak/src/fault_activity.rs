use std::time::{Duration, Instant};

/// Time after the last fault from which on the system has no excuse.
const QUIET: Duration = Duration::from_secs(3);

/// When unplanned faults were at work, to tell which exchanges a shutdown alone must not cut off.
#[derive(Clone, Debug, Default)]
pub struct FaultActivity {
    open: usize,
    last: Option<Instant>,
}

impl FaultActivity {
    /// Notes that a fault begins.
    pub fn record_start(&mut self, now: Instant) {
        self.open += 1;
        self.last = Some(now);
    }

    /// Notes that a fault has ended.
    pub fn record_end(&mut self, now: Instant) {
        self.open = self.open.saturating_sub(1);
        self.last = Some(now);
    }

    /// Returns whether no fault was at work since some seconds before `from`.
    pub fn is_fault_free_since(&self, from: Instant) -> bool {
        self.open == 0 && self.last.is_none_or(|last| last + QUIET < from)
    }
}
