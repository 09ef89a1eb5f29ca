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
mod tests {
    use super::*;

    fn key(number: usize) -> JobKey {
        format!("job-{number}").parse().unwrap()
    }

    /// All callers that were refused at a peak returned in the same second.
    #[test]
    fn delays_follow_the_queue_and_are_spread() {
        for (wait_ms, first, last) in [(0, 1, 1), (900, 1, 2), (1_500, 2, 4), (60_000, 5, 5)] {
            let mut seen = std::collections::BTreeSet::new();
            for number in 0..200 {
                seen.insert(retry_delay(&key(number), Duration::from_millis(wait_ms)).as_secs());
            }
            let expected: Vec<u64> = (first..=last).collect();
            assert_eq!(seen.into_iter().collect::<Vec<_>>(), expected, "{wait_ms} ms");
        }
    }

    #[test]
    fn refusals_are_remembered_for_a_time_and_up_to_a_number() {
        let mut refused = RefusedJobs::default();
        refused.record(Instant(0), &key(0));
        assert!(refused.contains(Instant(5_000_000), &key(0)));
        assert!(!refused.contains(Instant(10_000_000), &key(0)));
        for number in 1..=MAX_REFUSED {
            refused.record(Instant(0), &key(number));
            refused.record(Instant(1), &key(number));
        }
        assert!(!refused.contains(Instant(1), &key(0)));
        assert!(refused.contains(Instant(1), &key(1)));
        assert_eq!(refused.refused_at.len(), MAX_REFUSED);
        assert_eq!(refused.oldest_first.len(), MAX_REFUSED);
    }
}
