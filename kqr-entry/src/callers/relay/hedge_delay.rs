use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Estimate of a high quantile of the time until the head of an answer, after which a hedge is sent.
///
/// The estimate moves up by a large step for an observation above it and down by a small one for an observation below,
/// so that it settles where one observation in twenty lies above.
#[derive(Debug)]
pub struct HedgeDelay {
    micros: AtomicU64,
}

/// Estimate before the first observation, in microseconds.
const FIRST: u64 = 500_000;
/// Bounds of the estimate, in microseconds.
const BOUNDS: std::ops::RangeInclusive<u64> = 5_000..=5_000_000;
/// Relative step down, as a divisor. The step up is nineteen times as large.
const STEP_DOWN: u64 = 2000;
/// Ratio of the steps; it sets the quantile 0.95.
const UP_OVER_DOWN: u64 = 19;

impl HedgeDelay {
    /// Creates the estimate.
    pub fn new() -> Self {
        Self {
            micros: AtomicU64::new(FIRST),
        }
    }

    /// Returns the estimate.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.micros.load(Ordering::Relaxed))
    }

    /// Takes in the time of one answer.
    pub fn observe(&self, observed: Duration) {
        let micros = observed.as_micros() as u64;
        let step = |estimate: u64| {
            let down = (estimate / STEP_DOWN).max(1);
            let next = if micros > estimate {
                estimate + UP_OVER_DOWN * down
            } else {
                estimate - down
            };
            Some(next.clamp(*BOUNDS.start(), *BOUNDS.end()))
        };
        let _ = self
            .micros
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }
}
