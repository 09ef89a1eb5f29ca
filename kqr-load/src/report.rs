use serde::{Deserialize, Serialize};

use crate::Quantiles;

/// Counts of how work ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Jobs and requests that arrived.
    pub arrived: u64,
    /// Complete answers.
    pub complete: u64,
    /// Complete answers within the deadline.
    pub in_time: u64,
    /// Failed or refused; nothing was run.
    pub not_run: u64,
    /// Failed or refused; it may have been run.
    pub may_have_run: u64,
    /// Run and failed.
    pub ran: u64,
    /// Without any answer.
    pub unanswered: u64,
    /// Cancelled by a wave, whatever the answer.
    pub cancelled: u64,
}

/// What broke a promise. Each must be 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Broken {
    /// Answers that were not the whole answer to their request.
    pub partial_answers: u64,
    /// Starts of tasks beyond the first.
    pub duplicate_starts: u64,
    /// Tasks that were started although they were answered as not run.
    pub false_not_run: u64,
    /// Runs of non-idempotent requests beyond the first.
    pub repeated_requests: u64,
    /// Requests that were run although they were answered as not run.
    pub false_request_not_run: u64,
}

/// One second of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Jobs and requests that arrived.
    pub arrived: u64,
    /// Answers in time, by the second of the answer.
    pub in_time: u64,
    /// Refusals that said "not run", tries that were sent again included.
    pub refused_not_run: u64,
    /// Refusals that said "may have run".
    pub refused_may_have_run: u64,
    /// Median of response over ideal of the jobs that arrived.
    pub over_ideal_p50: f64,
    /// Quantile 0.99 of response over ideal of the jobs that arrived.
    pub over_ideal_p99: f64,
}

/// One phase of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PhaseReport {
    /// Name of the phase.
    pub name: String,
    /// Length in seconds.
    pub seconds: f64,
    /// How the work that arrived in it ended.
    pub counts: Counts,
    /// Response over ideal of the jobs that arrived in it.
    pub over_ideal: Quantiles,
}

/// A point of the distribution of response over ideal.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct DistributionPoint {
    /// Quantile.
    pub quantile: f64,
    /// Response over ideal.
    pub ratio: f64,
}

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the experiment.
    pub name: String,
    /// Seed of the random numbers.
    pub seed: u64,
    /// How the jobs ended.
    pub jobs: Counts,
    /// How the single requests ended.
    pub requests: Counts,
    /// What broke a promise.
    pub broken: Broken,
    /// Tries beyond the first.
    pub resubmitted: u64,
    /// Tasks of the submitted jobs.
    pub tasks: u64,
    /// Starts of tasks at the stand-ins.
    pub starts: u64,
    /// Refused starts and questions about attempts at the stand-ins.
    pub wasted: u64,
    /// Response times of complete jobs from their intended arrival, in milliseconds.
    pub job_response_ms: Quantiles,
    /// Response times of complete requests from their intended arrival, in milliseconds.
    pub request_response_ms: Quantiles,
    /// Response over the longest run time of the job's tasks.
    pub over_ideal: Quantiles,
    /// Distribution of response over ideal.
    pub distribution: Vec<DistributionPoint>,
    /// Phases of the run.
    pub phases: Vec<PhaseReport>,
    /// Seconds of the run.
    pub seconds: Vec<Second>,
}

impl Report {
    /// Returns whether a promise was broken or no work was answered at all.
    pub fn is_broken(&self) -> bool {
        let arrived = self.jobs.arrived + self.requests.arrived;
        let complete = self.jobs.complete + self.requests.complete;
        self.broken != Broken::default() || arrived > 0 && complete == 0
    }
}
