//! Estimates of callers that are wrong, corrected by the run times of the same kind of work.

use std::{collections::BTreeMap, time::Duration};

use kqr_types::ServiceName;

/// Number of samples at which the learned part counts for half.
const HALF_TRUST_SAMPLES: f32 = 32.0;
/// Number of samples over which the means extend.
const MAX_SAMPLES: f32 = 512.0;
/// Maximum number of kinds of work; runs of further ones keep the estimates of their callers.
const MAX_KINDS: usize = 64;
/// Largest factor by which a run time or an estimate may differ from the mean of its kind to count as it is; the factor of a
/// larger difference is reduced to this one.
const MAX_OUTLIER_FACTOR: f32 = 8.0;
/// Shortest run time of a sample.
const MIN_RUN_TIME: Duration = Duration::from_millis(1);

/// Kind of work: its service and priority.
type Kind = (ServiceName, u32);

/// Run times learned for each kind of work.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimes {
    kinds: BTreeMap<Kind, KindTimes>,
}

/// Means of the logarithms of run times and estimates of a kind, both in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct KindTimes {
    samples: f32,
    run: f32,
    estimate: f32,
    /// Variance of the logarithms of the estimates.
    estimate_variance: f32,
    /// Covariance of the logarithms of run times and estimates.
    covariance: f32,
}

impl RunTimes {
    /// Records the run time of a task on a target of normal speed, and the estimate of its caller.
    pub(super) fn record(
        &mut self,
        service: &ServiceName,
        priority: u32,
        run_time: Duration,
        estimate: Duration,
    ) {
        if estimate.is_zero() {
            return;
        }
        let kind = (service.clone(), priority);
        if !self.kinds.contains_key(&kind) && self.kinds.len() >= MAX_KINDS {
            return;
        }
        let times = self.kinds.entry(kind).or_default();
        times.record(log_seconds(run_time), log_seconds(estimate));
    }

    /// Returns the expected run time on a target of normal speed of a task for which its caller estimates `estimate`.
    pub(super) fn expected(&self, service: &ServiceName, priority: u32, estimate: Duration) -> Duration {
        let times = self.kinds.get(&(service.clone(), priority));
        times.map_or(estimate, |times| {
            Duration::try_from_secs_f32(times.expected(log_seconds(estimate)).exp()).unwrap_or(estimate)
        })
    }
}

impl KindTimes {
    fn record(&mut self, run: f32, estimate: f32) {
        let limit = MAX_OUTLIER_FACTOR.ln();
        let (mut run, mut estimate) = (run, estimate);
        if self.samples > 0.0 {
            run = run.clamp(self.run - limit, self.run + limit);
            estimate = estimate.clamp(self.estimate - limit, self.estimate + limit);
        }
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        let weight = 1.0 / self.samples;
        let (run_step, estimate_step) = (run - self.run, estimate - self.estimate);
        self.run += run_step * weight;
        self.estimate += estimate_step * weight;
        let kept = 1.0 - weight;
        self.estimate_variance = kept * (self.estimate_variance + weight * estimate_step * estimate_step);
        self.covariance = kept * (self.covariance + weight * run_step * estimate_step);
    }

    /// Returns the logarithm of the expected run time.
    ///
    /// The difference of an estimate from the mean of its kind counts in proportion to how well such differences predict
    /// those of the run times: by half, the geometric mean of both, if the errors of the estimates spread as much as
    /// the run times.
    fn expected(&self, estimate: f32) -> f32 {
        let share = if self.estimate_variance > 0.0 {
            (self.covariance / self.estimate_variance).clamp(0.0, 1.0)
        } else {
            1.0
        };
        let learned = self.run + share * (estimate - self.estimate);
        let trust = self.samples / (self.samples + HALF_TRUST_SAMPLES);
        estimate + trust * (learned - estimate)
    }
}

fn log_seconds(time: Duration) -> f32 {
    time.max(MIN_RUN_TIME).as_secs_f32().ln()
}

#[cfg(test)]
mod tests;
