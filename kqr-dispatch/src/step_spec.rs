use std::time::Duration;

use kqr_fleet::Resources;
use serde::{Deserialize, Serialize};

/// One step of a job: a number of identical tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task requires.
    pub needs: Resources,
    /// Estimated run time of a task; zero if the caller gives none.
    pub estimate: Duration,
    /// Indices of the steps that must complete first.
    #[serde(rename = "after")]
    pub depends_on: Vec<u32>,
    /// Label required of the target.
    pub label: Option<String>,
    /// Rack that holds the input data; targets there are preferred.
    #[serde(rename = "near")]
    pub data_rack: Option<String>,
    /// Maximum number of tasks of the step on one target.
    pub max_per_target: Option<u32>,
}

impl StepSpec {
    /// Returns the estimated work of a task, in core-milliseconds.
    pub(crate) const fn work_core_ms(&self) -> u64 {
        let estimate_ms = self.estimate.as_millis() as u64;
        self.needs.cpu_milli.saturating_mul(estimate_ms) / 1000
    }
}
