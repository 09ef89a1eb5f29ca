use std::time::Duration;

use kqr_fleet::Resources;
use serde::{Deserialize, Serialize};

/// One step of a job: tasks that are alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes of a target.
    pub needs: Resources,
    /// Rough run time of a task; zero if the caller does not tell.
    pub estimate: Duration,
    /// Steps that must be complete first.
    #[serde(rename = "after")]
    pub depends_on: Vec<u32>,
    /// Label that the target must have.
    pub label: Option<String>,
    /// Rack that holds the data.
    #[serde(rename = "near")]
    pub data_rack: Option<String>,
    /// Most tasks of the step on one target.
    pub max_per_target: Option<u32>,
}
