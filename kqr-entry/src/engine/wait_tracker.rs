use std::collections::BTreeMap;

use kqr_jobs::WaitingTask;
use kqr_types::{Instant, JobKey, TaskIndex};

/// Start times of the tasks' waits for a slot.
#[derive(Debug, Default)]
pub struct WaitTracker {
    jobs: BTreeMap<JobKey, BTreeMap<TaskIndex, Instant>>,
}

impl WaitTracker {
    /// Starts the waits of tasks that are not waiting yet.
    pub fn start(&mut self, now: Instant, tasks: &[WaitingTask]) {
        for task in tasks {
            if !self.jobs.contains_key(&task.key) {
                self.jobs.insert(task.key.clone(), BTreeMap::new());
            }
            if let Some(waiting) = self.jobs.get_mut(&task.key) {
                waiting.entry(task.task).or_insert(now);
            }
        }
    }

    /// Ends the wait of a task and returns its start time.
    pub fn finish(&mut self, key: &JobKey, task: TaskIndex) -> Option<Instant> {
        let waiting = self.jobs.get_mut(key)?;
        let started_at = waiting.remove(&task);
        if waiting.is_empty() {
            self.jobs.remove(key);
        }
        started_at
    }

    /// Removes the waits of all tasks of a job.
    pub fn remove_job(&mut self, key: &JobKey) {
        self.jobs.remove(key);
    }
}
