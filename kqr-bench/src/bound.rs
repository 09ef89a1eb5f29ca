use std::fmt;

use serde::{Deserialize, Serialize};

/// All bounds and the seeds that they are held for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Seeds of the arrivals.
    pub seeds: Vec<u64>,
    /// The bounds.
    pub bounds: Vec<Bound>,
}

/// A bound of one measure of the system.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Name, also in the list of checks that fail for a known reason.
    pub name: String,
    /// Scenario that is run.
    pub scenario: String,
    /// Arrivals over what the targets can serve.
    pub load: f64,
    /// Measure of the system.
    pub measure: String,
    /// Policy of the same run whose measure divides that of the system.
    pub over_policy: Option<String>,
    /// Scenario whose measure of the system divides it.
    pub over_scenario: Option<String>,
    /// Load of that scenario.
    pub over_load: Option<f64>,
    /// Largest value.
    pub at_most: Option<f64>,
    /// Smallest value.
    pub at_least: Option<f64>,
}

impl Bound {
    /// Returns whether `value` is within the bound. A value that is not a number never is.
    pub fn holds(&self, value: f64) -> bool {
        let is_low_enough = self.at_most.is_none_or(|limit| value <= limit);
        let is_high_enough = self.at_least.is_none_or(|limit| value >= limit);
        is_low_enough && is_high_enough && !value.is_nan()
    }

    /// Returns the worse of two values.
    pub fn worse(&self, left: f64, right: f64) -> f64 {
        if left.is_nan() || right.is_nan() {
            return f64::NAN;
        }
        if self.at_most.is_some() {
            left.max(right)
        } else {
            left.min(right)
        }
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}", self.name, self.measure)?;
        if let Some(policy) = &self.over_policy {
            write!(f, " over {policy}")?;
        }
        if let Some(scenario) = &self.over_scenario {
            write!(f, " over {scenario}")?;
        }
        if let Some(limit) = self.at_most {
            write!(f, ", at most {limit}")?;
        }
        if let Some(limit) = self.at_least {
            write!(f, ", at least {limit}")?;
        }
        f.write_str(")")
    }
}
