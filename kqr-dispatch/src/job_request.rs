use std::{sync::Arc, time::Duration};

use kqr_types::{JobKey, ServiceName};
use serde::{Deserialize, Serialize};

use crate::StepSpec;

/// A job that lives as long as the exchange of its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Name of the job, chosen by the caller.
    pub key: JobKey,
    /// Service whose targets run the tasks.
    pub service: ServiceName,
    /// Rank among the queues; 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail before the job has failed.
    pub max_attempts: u32,
    /// Factor of the ideal response time that is still on time.
    pub slack_factor: f64,
    /// Time beyond the scaled ideal response that is still on time.
    pub objective: Duration,
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// What the tasks are told.
    pub spec: Arc<str>,
    /// Steps.
    pub steps: Vec<StepSpec>,
}

impl JobRequest {
    /// Returns the number of tasks of all steps.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns whether each step waits for earlier steps only.
    pub fn has_ordered_steps(&self) -> bool {
        let mut steps = self.steps.iter().enumerate();
        steps.all(|(number, step)| step.depends_on.iter().all(|earlier| (*earlier as usize) < number))
    }
}
