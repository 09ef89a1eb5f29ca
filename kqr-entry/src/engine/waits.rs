use std::collections::BTreeMap;

use kqr_jobs::WaitingTask;
use kqr_types::{Instant, JobKey, TaskIndex};

/// The instants since which tasks wait for a slot.
#[derive(Debug, Default)]
pub struct Waits {
    jobs: BTreeMap<JobKey, BTreeMap<TaskIndex, Instant>>,
}

impl Waits {
    /// Notes that tasks wait from `now` on, unless they wait already.
    pub fn begin(&mut self, now: Instant, tasks: &[WaitingTask]) {
        for task in tasks {
            if !self.jobs.contains_key(&task.key) {
                self.jobs.insert(task.key.clone(), BTreeMap::new());
            }
            if let Some(waiting) = self.jobs.get_mut(&task.key) {
                waiting.entry(task.task).or_insert(now);
            }
        }
    }

    /// Ends the wait of a task and returns since when it waited.
    pub fn end(&mut self, key: &JobKey, task: TaskIndex) -> Option<Instant> {
        let waiting = self.jobs.get_mut(key)?;
        let since = waiting.remove(&task);
        if waiting.is_empty() {
            self.jobs.remove(key);
        }
        since
    }

    /// Ends the waits of all tasks of a job.
    pub fn withdraw(&mut self, key: &JobKey) {
        self.jobs.remove(key);
    }
}
