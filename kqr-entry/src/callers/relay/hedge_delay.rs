use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Streaming estimate of the 95th percentile of the time until the head of a response, after which a hedge is
/// sent.
///
/// An observation above the estimate raises it by a step that is 19 times as large as the one by which an
/// observation below lowers it. The estimate thus converges to the value that one observation in 20 exceeds.
#[derive(Debug)]
pub struct HedgeDelay {
    micros: AtomicU64,
}

/// Estimate before the first observation.
const INITIAL_MICROS: u64 = 500_000;
/// Bounds of the estimate.
const BOUNDS_MICROS: std::ops::RangeInclusive<u64> = 5_000..=5_000_000;
/// Divisor of the estimate that gives the step down.
const STEP_DOWN_DIVISOR: u64 = 2000;
/// Ratio of the step up to the step down; 19 gives the quantile 0.95.
const STEP_RATIO: u64 = 19;

impl HedgeDelay {
    /// Creates an estimate without observations.
    pub fn new() -> Self {
        Self {
            micros: AtomicU64::new(INITIAL_MICROS),
        }
    }

    /// Returns the current estimate.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.micros.load(Ordering::Relaxed))
    }

    /// Updates the estimate with the time of one response.
    pub fn observe(&self, observed: Duration) {
        let micros = observed.as_micros() as u64;
        let step = |estimate: u64| {
            let down = (estimate / STEP_DOWN_DIVISOR).max(1);
            let next = if micros > estimate {
                estimate + STEP_RATIO * down
            } else {
                estimate - down
            };
            Some(next.clamp(*BOUNDS_MICROS.start(), *BOUNDS_MICROS.end()))
        };
        let _ = self
            .micros
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }
}
