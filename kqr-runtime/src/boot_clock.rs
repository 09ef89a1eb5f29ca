use kqr_types::Instant;
use rustix::time::{ClockId, Timespec, clock_gettime};

/// A clock that also counts the time for which the machine was suspended.
///
/// A process that was frozen finds its leases ended when it wakes.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine was started.
    pub fn now(self) -> Instant {
        let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
        Instant(tv_sec as u64 * 1_000_000 + tv_nsec as u64 / 1000)
    }
}
