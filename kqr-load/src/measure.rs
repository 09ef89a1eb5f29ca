use std::time::Duration;

use hdrhistogram::Histogram;

use crate::{DistributionPoint, Quantiles};

/// Values of a ratio in a histogram for each unit of the ratio.
const RATIO_STEPS: f64 = 1000.0;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;
/// Significant digits of histograms.
const DIGITS: u8 = 3;

/// A histogram of times or of ratios.
#[derive(Clone, Debug)]
pub struct Measure(Histogram<u64>);

impl Measure {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        let histogram = Histogram::new(DIGITS);
        Self(histogram.unwrap_or_else(|_| unreachable!("the number of digits is allowed")))
    }

    /// Records a time.
    pub fn record_time(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    /// Records a ratio.
    pub fn record_ratio(&mut self, ratio: f64) {
        self.0.saturating_record((ratio * RATIO_STEPS) as u64);
    }

    /// Returns the quantiles of times, in milliseconds.
    pub fn times(&self) -> Quantiles {
        Quantiles::of(&self.0, MICROS_PER_MILLI)
    }

    /// Returns the quantiles of ratios.
    pub fn ratios(&self) -> Quantiles {
        Quantiles::of(&self.0, RATIO_STEPS)
    }

    /// Returns the distribution of ratios, finer towards the largest.
    pub fn distribution(&self) -> Vec<DistributionPoint> {
        let mut points = Vec::new();
        if self.0.is_empty() {
            return points;
        }
        for value in self.0.iter_quantiles(5) {
            points.push(DistributionPoint {
                quantile: value.quantile_iterated_to(),
                ratio: value.value_iterated_to() as f64 / RATIO_STEPS,
            });
        }
        points
    }
}

impl Default for Measure {
    fn default() -> Self {
        Self::new()
    }
}
