use std::time::Duration;

use hdrhistogram::Histogram;

use crate::{DistributionPoint, Quantiles};

/// Values of a ratio in a histogram for each unit of the ratio.
const RATIO_STEPS: f64 = 1000.0;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;
/// Largest value that a histogram records: an hour in microseconds.
const MAX_RECORDED: u64 = 3_600_000_000;
/// Significant digits of histograms.
const DIGITS: u8 = 3;
/// Largest ratio that a coarse histogram records.
const MAX_COARSE_RATIO: u64 = 1000;
/// Significant digits of coarse histograms.
const COARSE_DIGITS: u8 = 2;

/// A histogram of times or of ratios.
#[derive(Clone, Debug)]
pub struct Measure(Histogram<u64>);

impl Measure {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        Self::with_bounds(MAX_RECORDED, DIGITS)
    }

    /// Creates an empty histogram of ratios that takes little memory.
    pub fn coarse() -> Self {
        Self::with_bounds(MAX_COARSE_RATIO * RATIO_STEPS as u64, COARSE_DIGITS)
    }

    fn with_bounds(most: u64, digits: u8) -> Self {
        let histogram = Histogram::new_with_bounds(1, most, digits);
        Self(histogram.unwrap_or_else(|_| unreachable!("the bounds are allowed")))
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
