use std::time::Duration;

use kqr_types::{Instant, JobKey};

use crate::Options;

/// Weight of a new run time sample in the moving average; the first samples weigh more.
const SAMPLE_WEIGHT: f32 = 0.08;
/// Network time of a start and of the answer that lists its end.
const CALL_OVERHEAD: Duration = Duration::from_millis(4);
/// Estimated run time from which a sample has its full weight.
const FULL_WEIGHT_ESTIMATE: Duration = Duration::from_millis(200);
/// Lowest ratio of run time to estimate by which a run time is corrected; the highest is its inverse.
const MIN_SLOWNESS: f32 = 0.01;
/// Shortest run time of a sample.
const MIN_SAMPLE_RUN_TIME: Duration = Duration::from_millis(1);
/// Consecutive failures of tasks of different jobs at which a target is quarantined.
const QUARANTINE_AFTER_FAILURES: u32 = 2;

/// Health and speed of a target, learned from the ends of its runs.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Health {
    /// Consecutive failures of tasks of different jobs; at least 1 after a quarantine.
    failures: u32,
    /// Job of the last failure. Its further failures don't count, because they may be the fault of the job.
    last_failed: Option<JobKey>,
    quarantined_until: Instant,
    next_quarantine: Duration,
    /// Natural logarithm of the ratio of run time to estimate, averaged.
    log_slowness: f32,
    samples: u16,
}

impl Health {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            failures: 0,
            last_failed: None,
            quarantined_until: Instant(0),
            next_quarantine: options.min_quarantine,
            log_slowness: 0.0,
            samples: 0,
        }
    }

    /// Returns the ratio of run time to estimate on the target.
    pub(super) fn slowness(&self) -> f32 {
        self.log_slowness.exp()
    }

    /// Returns the run time that a run of `elapsed` on the target would have had on one of normal speed.
    pub(super) fn normal_run_time(&self, elapsed: Duration) -> Duration {
        let run_time = elapsed.saturating_sub(CALL_OVERHEAD).max(MIN_SAMPLE_RUN_TIME);
        run_time.div_f32(self.slowness().clamp(MIN_SLOWNESS, 1.0 / MIN_SLOWNESS))
    }

    /// Returns the maximum number of concurrent runs, or `None` without a limit.
    pub(super) fn max_runs(&self, now: Instant) -> Option<usize> {
        if now < self.quarantined_until {
            return Some(0);
        }
        (self.failures > 0).then_some(1)
    }

    /// Records a completed run and its duration.
    pub(super) fn record_success(&mut self, options: &Options, elapsed: Duration, estimate: Duration) {
        self.failures = 0;
        self.last_failed = None;
        self.next_quarantine = options.min_quarantine;
        if estimate.is_zero() || elapsed.is_zero() {
            return;
        }
        let run_time = elapsed.saturating_sub(CALL_OVERHEAD).max(MIN_SAMPLE_RUN_TIME);
        let sample = (run_time.as_secs_f32() / estimate.as_secs_f32()).ln();
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f32::from(self.samples.saturating_add(2)));
        // The duration of a short run depends more on the calls and on concurrent runs than on the target's
        // speed.
        let significance = (estimate.as_secs_f32() / FULL_WEIGHT_ESTIMATE.as_secs_f32()).min(1.0);
        self.log_slowness += (sample - self.log_slowness) * weight * significance;
    }

    /// Records a failed run of a task that had not failed before. Returns whether the target is now
    /// quarantined.
    pub(super) fn record_failure(&mut self, now: Instant, options: &Options, job: &JobKey) -> bool {
        if self.last_failed.as_ref() == Some(job) {
            return false;
        }
        self.last_failed = Some(job.clone());
        self.failures += 1;
        if self.failures < QUARANTINE_AFTER_FAILURES {
            return false;
        }
        self.quarantine(now, options);
        true
    }

    /// Quarantines the target; the next quarantine is twice as long, up to the maximum.
    pub(super) fn quarantine(&mut self, now: Instant, options: &Options) {
        self.failures = self.failures.max(1);
        self.quarantined_until = now + self.next_quarantine;
        self.next_quarantine = (self.next_quarantine * 2).min(options.max_quarantine);
    }
}
