use std::{sync::Arc, time::Duration};

use kqr_fleet::TargetRecord;
use kqr_types::{JobKey, ServiceName};
use serde::{Deserialize, Serialize};

use crate::StepSpec;

/// A job that is dropped when its caller disconnects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Key of the job, chosen by the caller.
    pub key: JobKey,
    /// Service whose targets run the tasks.
    pub service: ServiceName,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task at which the job fails.
    pub max_attempts: u32,
    /// Multiple of the ideal response time that still counts as on time.
    pub slack_factor: f64,
    /// Time added to the scaled ideal response time that still counts as on time.
    pub objective: Duration,
    /// Time left to answer the caller.
    pub time_left: Duration,
    /// Payload passed to each task.
    pub spec: Arc<str>,
    /// Steps, in an order that satisfies their dependencies.
    pub steps: Vec<StepSpec>,
}

impl JobRequest {
    /// Returns the number of tasks in all steps.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns the number of dependencies of all steps.
    pub fn dependency_count(&self) -> usize {
        self.steps.iter().map(|step| step.depends_on.len()).sum()
    }

    /// Returns the number of tasks, steps and dependencies, all of which take memory while the job is in progress.
    pub fn size(&self) -> u64 {
        self.task_count() + self.steps.len() as u64 + self.dependency_count() as u64
    }

    /// Drops the racks that no target can be on, because their names are longer than any label of a target. Their copies in
    /// each order would take memory for nothing.
    pub(crate) fn drop_impossible_racks(&mut self) {
        for step in &mut self.steps {
            step.data_rack
                .take_if(|rack| rack.len() > TargetRecord::MAX_LABEL_BYTES);
        }
    }

    /// Returns whether each step depends only on earlier steps.
    pub fn has_ordered_steps(&self) -> bool {
        let mut steps = self.steps.iter().enumerate();
        steps.all(|(number, step)| step.depends_on.iter().all(|earlier| (*earlier as usize) < number))
    }
}
