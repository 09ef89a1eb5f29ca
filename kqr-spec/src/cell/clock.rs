use std::time::Duration;

use kqr_types::Instant;

/// Rate of a clock that neither gains nor loses.
const TRUE_RATE_PER_MILLE: u64 = 1_000;

/// An instance's clock, which gains or loses against the model's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Clock {
    pub(super) rate_per_mille: u64,
}

impl Clock {
    /// Returns the clock's reading at `now` of the model's time.
    pub(super) fn read(self, now: Duration) -> Instant {
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        Instant(micros * self.rate_per_mille / TRUE_RATE_PER_MILLE)
    }
}
