use std::time::Duration;

/// Limits of the job machine.
#[derive(Clone, Debug)]
pub struct Options {
    /// How long an ended job is remembered, so that a resubmission finds its answer.
    pub retention: Duration,
    /// How many ended jobs are remembered at most; the oldest are forgotten first.
    pub retained_jobs: usize,
    /// How long after its intent a task may still start on its target.
    pub start_within: Duration,
    /// How often one task is offered to targets before its job fails.
    pub offers_per_task: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            retained_jobs: 100_000,
            start_within: Duration::from_millis(500),
            offers_per_task: 20,
        }
    }
}
