use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Learned speed of a target: typical over observed run time, as a moving average of the logarithm.
#[derive(Debug)]
pub struct SpeedEstimate {
    log: AtomicU64,
    observations: AtomicU32,
}

impl SpeedEstimate {
    /// Least weight of a new observation in the moving average.
    const LEAST_WEIGHT: f64 = 0.01;
    /// Bound of the logarithm of one observation, so that a single outlier can't upset the average.
    const LOG_BOUND: f64 = 3.0;

    /// Difference of logarithms, times the root of the observations, that chance does not explain.
    const SIGNIFICANT: f64 = 2.5;
    /// Observations beyond which the moving average gets no better.
    const MOST_INDEPENDENT: f64 = 200.0;

    /// Creates the speed 1 without observations.
    pub fn new() -> Self {
        Self {
            log: AtomicU64::new(0.0_f64.to_bits()),
            observations: AtomicU32::new(0),
        }
    }

    /// Returns the present estimate.
    pub fn get(&self) -> f64 {
        f64::from_bits(self.log.load(Ordering::Relaxed)).exp()
    }

    /// Returns the number of observations.
    pub fn observations(&self) -> u32 {
        self.observations.load(Ordering::Relaxed)
    }

    /// Returns whether the estimate differs from `other` by more than the scatter of its observations explains.
    pub fn differs_from(&self, other: f64) -> bool {
        let observations = f64::from(self.observations()).clamp(1.0, Self::MOST_INDEPENDENT);
        let difference = (self.get() / other).ln().abs();
        difference > Self::SIGNIFICANT / observations.sqrt()
    }

    /// Takes in one observation: the time that the work takes at speed 1, and the time that it took here.
    pub fn observe(&self, typical: Duration, observed: Duration) {
        if typical.is_zero() || observed.is_zero() {
            return;
        }
        let ratio = typical.as_secs_f64() / observed.as_secs_f64();
        let value = ratio.ln().clamp(-Self::LOG_BOUND, Self::LOG_BOUND);
        let count = self.observations.fetch_add(1, Ordering::Relaxed).min(1 << 20);
        let weight = (1.0 / f64::from(count + 1)).max(Self::LEAST_WEIGHT);
        let next = f64::from_bits(self.log.load(Ordering::Relaxed)) * (1.0 - weight) + value * weight;
        self.log.store(next.to_bits(), Ordering::Relaxed);
    }

    /// Divides the estimate by `scale`.
    pub(crate) fn rescale(&self, scale: f64) {
        let next = f64::from_bits(self.log.load(Ordering::Relaxed)) - scale.ln();
        self.log.store(next.to_bits(), Ordering::Relaxed);
    }
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        Self::new()
    }
}
