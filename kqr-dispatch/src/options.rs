use std::time::Duration;

/// Times and limits of the [`Dispatcher`](crate::Dispatcher).
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Lease of what runs on a target. It bounds how long a task outlives a lost owner.
    pub lease: Duration,
    /// Longest wait of a poll: several fit into a lease, and ends are not seen for long when one is not answered.
    pub max_poll_wait: Duration,
    /// Time between two polls of a target that does not answer; the first one is repeated at once.
    pub poll_retry_delay: Duration,
    /// Time without an answer after which a target gets no new work.
    pub target_timeout: Duration,
    /// Time without an answer after which control is told that a target is missing.
    pub unreachable_after: Duration,
    /// Largest deviation of a target's clock, in thousandths.
    pub max_drift_per_mille: u32,
    /// Time by which a lease may end late at the target.
    pub lease_margin: Duration,
    /// Time after which an unanswered stop is sent again.
    pub stop_retry_delay: Duration,
    /// Time without progress after which a run counts as hanging.
    pub progress_timeout: Duration,
    /// First pause of a target that failed tasks of several jobs; it doubles.
    pub min_quarantine: Duration,
    /// Longest pause of such a target.
    pub max_quarantine: Duration,
    /// Time between two reports of the load to siblings.
    pub min_report_interval: Duration,
    /// Longest time between two reports: a sibling that misses one hears the next before it is silent.
    pub max_report_interval: Duration,
    /// Time without a report after which a sibling counts as lost.
    pub sibling_timeout: Duration,
    /// Time for which an order may not yet be part of a sibling's report.
    pub report_lag: Duration,
    /// Most tasks of callers that an entry keeps; a task takes about 1 KiB.
    pub max_tasks: u64,
    /// Run time that is assumed where a caller tells none.
    pub default_estimate: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(700),
            max_poll_wait: Duration::from_millis(150),
            poll_retry_delay: Duration::from_millis(100),
            target_timeout: Duration::from_millis(550),
            unreachable_after: Duration::from_secs(5),
            max_drift_per_mille: 20,
            lease_margin: Duration::from_millis(60),
            stop_retry_delay: Duration::from_millis(150),
            progress_timeout: Duration::from_millis(300),
            min_quarantine: Duration::from_millis(1500),
            max_quarantine: Duration::from_secs(6),
            min_report_interval: Duration::from_millis(50),
            max_report_interval: Duration::from_millis(130),
            sibling_timeout: Duration::from_millis(400),
            report_lag: Duration::from_millis(10),
            max_tasks: 20_000,
            default_estimate: Duration::from_millis(200),
        }
    }
}
