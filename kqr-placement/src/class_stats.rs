use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Learned run time of a class at speed 1: means and quantiles. Run times declared by callers are ignored.
#[derive(Debug)]
pub struct ClassStats {
    log_mean: AtomicU64,
    mean: AtomicU64,
    median: AtomicU64,
    upper_quantile: AtomicU64,
    observations: AtomicU32,
}

impl ClassStats {
    /// Quantile that [`upper_quantile`](Self::upper_quantile) estimates.
    pub const UPPER_QUANTILE: f64 = 0.95;
    /// Number of observations required before the statistics are used.
    pub const MIN_OBSERVATIONS: u32 = 20;
    /// Minimum weight of a new observation in the moving averages.
    const MIN_WEIGHT: f64 = 0.005;
    /// Relative step of the quantile estimates.
    const QUANTILE_STEP: f64 = 0.05;

    /// Creates statistics with the initial estimate `guess`, which the first observation replaces.
    pub fn new(guess: Duration) -> Self {
        let seconds = guess.as_secs_f64().max(1e-6);
        Self {
            log_mean: AtomicU64::new(seconds.ln().to_bits()),
            mean: AtomicU64::new(seconds.to_bits()),
            median: AtomicU64::new(seconds.to_bits()),
            upper_quantile: AtomicU64::new((seconds * 2.0).to_bits()),
            observations: AtomicU32::new(0),
        }
    }

    /// Returns the number of observations.
    pub fn observations(&self) -> u32 {
        self.observations.load(Ordering::Relaxed)
    }

    /// Returns the mean run time at speed 1.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(load(&self.mean))
    }

    /// Returns the geometric mean of the run time at speed 1.
    pub fn geometric_mean(&self) -> Duration {
        Duration::from_secs_f64(load(&self.log_mean).exp())
    }

    /// Returns the median run time at speed 1.
    pub fn median(&self) -> Duration {
        Duration::from_secs_f64(load(&self.median))
    }

    /// Returns the upper quantile of the run time at speed 1.
    pub fn upper_quantile(&self) -> Duration {
        Duration::from_secs_f64(load(&self.upper_quantile))
    }

    /// Records the run time of a completed task, converted to speed 1.
    pub fn observe(&self, run_time: Duration) {
        let seconds = run_time.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let count = self.observations.fetch_add(1, Ordering::Relaxed);
        if count == 0 {
            store(&self.median, seconds);
            store(&self.upper_quantile, seconds * 2.0);
        }
        let weight = (1.0 / (f64::from(count) + 1.0)).max(Self::MIN_WEIGHT);
        store(
            &self.log_mean,
            load(&self.log_mean) * (1.0 - weight) + seconds.ln() * weight,
        );
        store(&self.mean, load(&self.mean) * (1.0 - weight) + seconds * weight);
        step_quantile(&self.median, seconds, 0.5, Self::QUANTILE_STEP);
        step_quantile(
            &self.upper_quantile,
            seconds,
            Self::UPPER_QUANTILE,
            Self::QUANTILE_STEP,
        );
    }
}

/// Moves a quantile estimate one relative step towards the observation.
fn step_quantile(cell: &AtomicU64, seconds: f64, quantile: f64, step: f64) {
    let estimate = load(cell);
    let factor = if seconds > estimate {
        1.0 + step * quantile
    } else {
        1.0 - step * (1.0 - quantile)
    };
    store(cell, estimate * factor);
}

fn load(cell: &AtomicU64) -> f64 {
    f64::from_bits(cell.load(Ordering::Relaxed))
}

fn store(cell: &AtomicU64, value: f64) {
    cell.store(value.to_bits(), Ordering::Relaxed);
}
