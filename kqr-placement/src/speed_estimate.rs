use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Learned speed of a target: the ratio of typical to observed run time, kept as a moving average of its
/// logarithm.
#[derive(Debug)]
pub struct SpeedEstimate {
    log_speed: AtomicU64,
    observations: AtomicU32,
}

impl SpeedEstimate {
    /// Minimum weight of a new observation in the moving average.
    const MIN_WEIGHT: f64 = 0.01;
    /// Bound on the absolute logarithm of one observation, which limits the effect of an outlier on the
    /// average.
    const MAX_ABS_LOG: f64 = 3.0;

    /// Difference of logarithms, times the square root of the number of observations, above which a
    /// difference is significant.
    const SIGNIFICANCE_THRESHOLD: f64 = 2.5;
    /// Number of observations above which the moving average does not become more accurate.
    const MAX_EFFECTIVE_OBSERVATIONS: f64 = 200.0;

    /// Creates an estimate of speed 1 without observations.
    pub fn new() -> Self {
        Self {
            log_speed: AtomicU64::new(0.0_f64.to_bits()),
            observations: AtomicU32::new(0),
        }
    }

    /// Returns the current estimate.
    pub fn get(&self) -> f64 {
        f64::from_bits(self.log_speed.load(Ordering::Relaxed)).exp()
    }

    /// Returns the number of observations.
    pub fn observations(&self) -> u32 {
        self.observations.load(Ordering::Relaxed)
    }

    /// Returns whether the estimate differs from `other` by more than the variance of its observations
    /// explains.
    pub fn differs_from(&self, other: f64) -> bool {
        let observations = f64::from(self.observations()).clamp(1.0, Self::MAX_EFFECTIVE_OBSERVATIONS);
        let difference = (self.get() / other).ln().abs();
        difference > Self::SIGNIFICANCE_THRESHOLD / observations.sqrt()
    }

    /// Records one observation: `typical` is the run time of the work at speed 1, `observed` its run time on
    /// this target.
    pub fn observe(&self, typical: Duration, observed: Duration) {
        if typical.is_zero() || observed.is_zero() {
            return;
        }
        let ratio = typical.as_secs_f64() / observed.as_secs_f64();
        let value = ratio.ln().clamp(-Self::MAX_ABS_LOG, Self::MAX_ABS_LOG);
        let count = self.observations.fetch_add(1, Ordering::Relaxed).min(1 << 20);
        let weight = (1.0 / f64::from(count + 1)).max(Self::MIN_WEIGHT);
        let next = f64::from_bits(self.log_speed.load(Ordering::Relaxed)) * (1.0 - weight) + value * weight;
        self.log_speed.store(next.to_bits(), Ordering::Relaxed);
    }

    /// Divides the estimate by `scale`.
    pub(crate) fn rescale(&self, scale: f64) {
        let next = f64::from_bits(self.log_speed.load(Ordering::Relaxed)) - scale.ln();
        self.log_speed.store(next.to_bits(), Ordering::Relaxed);
    }
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        Self::new()
    }
}
