use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_types::{Instant, JobKey};

use crate::{LostRun, TaskId};

/// Time after the last loss for which losses are kept: longer than callers submit a job again.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of jobs whose losses are kept.
const MAX_JOBS: usize = 4096;

/// Lost runs of one job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct JobLosses {
    runs: BTreeMap<TaskId, BTreeSet<LostRun>>,
    last_at: Instant,
}

/// The tasks whose targets went down while they ran, at any entry.
///
/// A task may have brought its target down, and so may any other task that ran there.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetLosses {
    jobs: BTreeMap<JobKey, JobLosses>,
}

impl TargetLosses {
    /// Records a lost run.
    pub(crate) fn record(&mut self, now: Instant, lost: LostRun) {
        let key = &lost.run.task.job;
        if self.jobs.len() >= MAX_JOBS && !self.jobs.contains_key(key) {
            return;
        }
        let job = self.jobs.entry(key.clone()).or_default();
        job.runs.entry(lost.run.task.clone()).or_default().insert(lost);
        job.last_at = now;
    }

    /// Returns the number of targets that went down under `task`.
    pub(crate) fn count(&self, task: &TaskId) -> u32 {
        let runs = self.jobs.get(&task.job).and_then(|job| job.runs.get(task));
        runs.map_or(0, |runs| runs.len() as u32)
    }

    /// Returns the largest number of targets that went down under one task of `job`.
    pub(crate) fn max_count(&self, job: &JobKey) -> u32 {
        let tasks = self.jobs.get(job).into_iter().flat_map(|job| job.runs.values());
        tasks.map(|runs| runs.len() as u32).max().unwrap_or(0)
    }

    /// Drops the losses of jobs that callers no longer submit.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.jobs.retain(|_, job| now.since(job.last_at) < RETENTION);
    }
}
