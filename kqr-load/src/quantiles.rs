use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Quantiles of a measure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// Quantile 0.9.
    pub p90: f64,
    /// Quantile 0.99.
    pub p99: f64,
    /// Quantile 0.999.
    pub p999: f64,
    /// Largest value.
    pub max: f64,
}

impl Quantiles {
    /// Returns the quantiles of a histogram whose values are multiples of `1 / divisor`.
    pub fn of(histogram: &Histogram<u64>, divisor: f64) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / divisor;
        Self {
            count: histogram.len(),
            mean: histogram.mean() / divisor,
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / divisor,
        }
    }
}
