//! Callers that were refused and return: after which delay, and with which precedence.

use std::{
    collections::{BTreeMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use kqr_types::{Instant, JobKey};

/// Shortest and longest suggested delay, in seconds.
const MIN_DELAY_S: u64 = 1;
const MAX_DELAY_S: u64 = 5;
/// Maximum number of remembered refusals. A key takes about 100 bytes.
const MAX_REFUSED: usize = 2048;
/// Time for which a refusal is remembered: twice the longest delay.
const MEMORY_TIME: Duration = Duration::from_secs(2 * MAX_DELAY_S);

/// Returns the delay after which the caller of a refused job is to retry: the time in which the queue drains, of `wait`, or
/// up to twice that, so that callers which were refused together don't return together. Without a queue it is the shortest.
pub(super) fn retry_delay(job: &JobKey, wait: Duration) -> Duration {
    if wait.is_zero() {
        return Duration::from_secs(MIN_DELAY_S);
    }
    let drained = wait.as_millis().div_ceil(1000);
    let first = u64::try_from(drained).unwrap_or(MAX_DELAY_S);
    let first = first.clamp(MIN_DELAY_S, MAX_DELAY_S);
    let last = (2 * first).min(MAX_DELAY_S);
    let mut hasher = DefaultHasher::new();
    job.hash(&mut hasher);
    Duration::from_secs(first + hasher.finish() % (last - first + 1))
}

/// Jobs that were refused a short time ago. When one of them is submitted again, it goes before new ones.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusedJobs {
    refused_at: BTreeMap<JobKey, Instant>,
    oldest_first: VecDeque<JobKey>,
}

impl RefusedJobs {
    /// Records a refusal. The oldest one is forgotten if there are too many.
    pub(super) fn record(&mut self, now: Instant, job: &JobKey) {
        if self.refused_at.insert(job.clone(), now).is_none() {
            self.oldest_first.push_back(job.clone());
        }
        if self.oldest_first.len() > MAX_REFUSED
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.refused_at.remove(&oldest);
        }
    }

    /// Returns whether the job was refused a short time ago.
    pub(super) fn contains(&self, now: Instant, job: &JobKey) -> bool {
        let refused_at = self.refused_at.get(job);
        refused_at.is_some_and(|at| now.since(*at) < MEMORY_TIME)
    }
}

#[cfg(test)]
mod tests;
