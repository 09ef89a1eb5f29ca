use std::time::Duration;

use kqr_types::{Instant, JobKey};

use crate::Options;

/// Weight of a new sample of the run times once many were seen.
const SAMPLE_WEIGHT: f32 = 0.08;
/// Time for the way of a start and of the answer that lists its end.
const CALL_OVERHEAD: Duration = Duration::from_millis(4);
/// Estimate from which on a sample counts in full.
const FULL_WEIGHT_ESTIMATE: Duration = Duration::from_millis(200);
/// Shortest run time of a sample.
const MIN_SAMPLE_RUN_TIME: Duration = Duration::from_millis(1);
/// Failures of tasks of different jobs, without a done one between them, after which a target pauses.
const PAUSE_AFTER_FAILURES: u32 = 2;

/// What an owner has learned of a target from the ends of its runs.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Health {
    failures: u32,
    /// Job of the last failure: the tasks of one job may all fail by its own fault.
    last_failed: Option<JobKey>,
    paused_until: Instant,
    next_pause: Duration,
    /// Natural logarithm of the run time over the estimate.
    log_slowness: f32,
    samples: u16,
}

impl Health {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            failures: 0,
            last_failed: None,
            paused_until: Instant(0),
            next_pause: options.min_quarantine,
            log_slowness: 0.0,
            samples: 0,
        }
    }

    /// Returns the run time on the target over the estimate.
    pub(super) fn slowness(&self) -> f32 {
        self.log_slowness.exp()
    }

    /// Returns how many runs the target may have at most, or `None` without a bound.
    pub(super) fn max_runs(&self, now: Instant) -> Option<usize> {
        if now < self.paused_until {
            return Some(0);
        }
        (self.failures > 0).then_some(1)
    }

    /// Notes a done task.
    pub(super) fn record_success(&mut self, options: &Options, took: Duration, estimate: Duration) {
        self.failures = 0;
        self.last_failed = None;
        self.next_pause = options.min_quarantine;
        if estimate.is_zero() || took.is_zero() {
            return;
        }
        let ran = took.saturating_sub(CALL_OVERHEAD).max(MIN_SAMPLE_RUN_TIME);
        let sample = (ran.as_secs_f32() / estimate.as_secs_f32()).ln();
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f32::from(self.samples.saturating_add(2)));
        // In a short run the time for the calls and for other runs beside it weighs more than the target's speed.
        let share = (estimate.as_secs_f32() / FULL_WEIGHT_ESTIMATE.as_secs_f32()).min(1.0);
        self.log_slowness += (sample - self.log_slowness) * weight * share;
    }

    /// Notes a failed run of a task that had not failed elsewhere. Returns whether the target pauses from now on.
    pub(super) fn record_failure(&mut self, now: Instant, options: &Options, job: &JobKey) -> bool {
        if self.last_failed.as_ref() == Some(job) {
            return false;
        }
        self.last_failed = Some(job.clone());
        self.failures += 1;
        if self.failures < PAUSE_AFTER_FAILURES {
            return false;
        }
        self.pause(now, options);
        true
    }

    /// Pauses the target; the next pause is longer.
    pub(super) fn pause(&mut self, now: Instant, options: &Options) {
        self.failures = self.failures.max(1);
        self.paused_until = now + self.next_pause;
        self.next_pause = (self.next_pause * 2).min(options.max_quarantine);
    }
}
