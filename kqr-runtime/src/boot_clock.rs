use kqr_types::Instant;
use rustix::time::{ClockId, Timespec, clock_gettime};

/// A monotonic clock that includes the time during which the machine was suspended.
///
/// The leases of a process that was suspended have therefore expired when it resumes.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine was booted.
    pub fn now(self) -> Instant {
        let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
        Instant(tv_sec as u64 * 1_000_000 + tv_nsec as u64 / 1000)
    }
}
