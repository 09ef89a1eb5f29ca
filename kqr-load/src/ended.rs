use std::time::Duration;

use kqr_types::{KeyDigest, TaskIndex};

/// How a piece of work ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// A complete answer.
    Complete,
    /// Refused or failed; nothing was run.
    NotRun,
    /// Refused or failed; it may have been run.
    MayHaveRun,
    /// Failed after it was run.
    Ran,
    /// No answer at all.
    Unanswered,
}

/// A refusal of one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Time from the begin of the run.
    pub at: Duration,
    /// What the refusal said: `NotRun` or `MayHaveRun`.
    pub ending: Ending,
}

/// What became of one arrival.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Position of the phase in which it arrived.
    pub phase: usize,
    /// Time of the arrival from the begin of the run.
    pub due: Duration,
    /// Time from the arrival to the answer.
    pub response: Duration,
    /// Time that the caller was willing to wait.
    pub deadline: Duration,
    /// Longest true run time of a task; zero for a single request.
    pub ideal: Duration,
    /// How it ended.
    pub ending: Ending,
    /// Whether the answer was the whole answer to the request.
    pub is_whole: bool,
    /// Number of tries.
    pub tries: usize,
    /// Number of tasks; 0 for a single request.
    pub tasks: u64,
    /// Refusals of single tries.
    pub refusals: Vec<Refusal>,
    /// Whether it was cancelled.
    pub is_cancelled: bool,
    /// Tasks that were answered as not run.
    pub not_run: Vec<(KeyDigest, TaskIndex)>,
    /// The path of a single request, and whether it was marked idempotent.
    pub request: Option<RequestPath>,
}

/// The path of a single request, by which the stand-ins count its runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestPath {
    /// Path at the target.
    pub path: String,
    /// Whether the request may be sent again.
    pub is_idempotent: bool,
}

impl Ended {
    /// Returns whether a complete answer came within the deadline.
    pub fn is_in_time(&self) -> bool {
        self.ending == Ending::Complete && self.response <= self.deadline
    }

    /// Returns the response time over the ideal one, for a complete job.
    pub fn over_ideal(&self) -> Option<f64> {
        let is_counted = self.ending == Ending::Complete && !self.ideal.is_zero();
        is_counted.then(|| self.response.div_duration_f64(self.ideal))
    }
}
