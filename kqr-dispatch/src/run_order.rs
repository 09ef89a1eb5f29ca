use std::time::Duration;

use kqr_fleet::Resources;
use kqr_types::{ServiceName, TargetId};
use serde::{Deserialize, Serialize};

use crate::{OrderId, RunId};

/// Order from a coordinator to the owner of a target to run a task once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunOrder {
    /// Identifier of the order.
    #[serde(rename = "ticket")]
    pub id: OrderId,
    /// Ordered run.
    pub run: RunId,
    /// Service whose targets may run the task.
    pub service: ServiceName,
    /// Resources that the task requires.
    pub needs: Resources,
    /// Estimated run time, corrected by what was learned; zero if unknown.
    pub estimate: Duration,
    /// Run time that the caller estimates. The speed of targets is measured against it.
    pub stated_estimate: Duration,
    /// Label required of the target.
    pub label: Option<String>,
    /// Rack that holds the input data; targets there are preferred.
    #[serde(rename = "near")]
    pub data_rack: Option<String>,
    /// Maximum number of tasks of the step on one target.
    pub max_per_target: Option<u32>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Time after which the run must no longer be started.
    pub time_left: Duration,
    /// Time left until an end of the run counts as late, derived from the estimate.
    pub on_time_left: Duration,
    /// Time left until the latest start with which the run is expected to end on time on a target of usual speed.
    pub start_left: Duration,
    /// Whether a run of the job may have begun when the order was placed.
    pub has_job_begun: bool,
    /// Whether the job was refused a short time before.
    pub is_returning: bool,
    /// Wait that the coordinator expected when it admitted the job.
    pub expected_wait: Duration,
    /// Target that the coordinator expects to have free capacity.
    #[serde(rename = "preferred")]
    pub preferred_target: Option<TargetId>,
    /// Targets on which an earlier run of the task did not complete.
    #[serde(rename = "avoid")]
    pub avoided_targets: Vec<TargetId>,
    /// Number of failed runs of the task.
    pub failures: u32,
    /// Number of targets that went down while they ran the task.
    pub target_losses: u32,
}

impl RunOrder {
    /// Returns the estimated work, in core-milliseconds.
    pub(crate) const fn work_core_ms(&self) -> u64 {
        let estimate_ms = self.estimate.as_millis() as u64;
        self.needs.cpu_milli.saturating_mul(estimate_ms) / 1000
    }

    /// Returns whether the task may have brought down a target. It never runs beside another such task, and alone if
    /// a target is idle.
    pub const fn is_suspect(&self) -> bool {
        self.target_losses > 0
    }
}
