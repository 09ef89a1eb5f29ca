use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Learned speed of a target: expected over observed run time, as a moving average.
#[derive(Debug)]
pub struct Speed(AtomicU64);

impl Speed {
    /// Weight of a new observation in the moving average.
    const NEW_WEIGHT: f64 = 0.1;
    /// Bounds of one observation, so that a single outlier can't upset the average.
    const OBSERVED: std::ops::RangeInclusive<f64> = 0.05..=20.0;

    /// Creates the speed 1.
    pub fn new() -> Self {
        Self(AtomicU64::new(1.0_f64.to_bits()))
    }

    /// Returns the present estimate.
    pub fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }

    /// Takes in one observation.
    pub fn observe(&self, expected: Duration, observed: Duration) {
        if expected.is_zero() || observed.is_zero() {
            return;
        }
        let ratio = expected.as_secs_f64() / observed.as_secs_f64();
        let ratio = ratio.clamp(*Self::OBSERVED.start(), *Self::OBSERVED.end());
        let next = self.get() * (1.0 - Self::NEW_WEIGHT) + ratio * Self::NEW_WEIGHT;
        self.0.store(next.to_bits(), Ordering::Relaxed);
    }
}

impl Default for Speed {
    fn default() -> Self {
        Self::new()
    }
}
