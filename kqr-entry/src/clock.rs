use kqr_types::Instant;

/// The monotonic clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }

    /// Returns the time since the creation of the clock.
    pub fn now(&self) -> Instant {
        Instant(self.origin.elapsed().as_micros() as u64)
    }
}
