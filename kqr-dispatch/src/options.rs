use std::time::Duration;

use crate::{JobLimits, LinkRate, LoadShedding, QueueOrder};

/// Factor on the run time on a rack that does not hold the input data, if none is given.
const DEFAULT_REMOTE_SLOWDOWN: f32 = 1.5;
/// Largest factor that is accepted. A larger one is taken for a mistake.
const MAX_REMOTE_SLOWDOWN: f64 = 1000.0;

/// Timeouts and limits of the [`Dispatcher`](crate::Dispatcher).
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Lease of the runs on a target. It bounds how long a task outlives the loss of its owner.
    pub lease: Duration,
    /// Maximum number of starts, and of stops, of a target that are not answered. Each takes a connection.
    pub max_open_calls: usize,
    /// Longest wait of a poll. Several polls must fit into a lease, and an unanswered poll delays the
    /// detection of ended runs by this time.
    pub max_poll_wait: Duration,
    /// Delay between polls of a target that does not answer; the first retry is immediate.
    pub poll_retry_delay: Duration,
    /// Time without an answer after which a target gets no new runs.
    pub target_timeout: Duration,
    /// Time without an answer after which a target is reported to control as unreachable.
    pub unreachable_after: Duration,
    /// Largest rate error of a target's clock, in thousandths.
    pub max_drift_per_mille: u32,
    /// Time by which a target may be late to enforce the end of a lease.
    pub lease_margin: Duration,
    /// Delay after which an unconfirmed stop is sent again.
    pub stop_retry_delay: Duration,
    /// Time for which polls still extend the lease of a target while a run there must end and its stop is not
    /// confirmed. Together with `sibling_timeout` and the longest lease it is below the retry delay of callers.
    pub max_unconfirmed_stop: Duration,
    /// Time without progress after which a run counts as hanging.
    pub progress_timeout: Duration,
    /// First quarantine of a target that fails tasks of several jobs; each further one is twice as long until
    /// a run completes.
    pub min_quarantine: Duration,
    /// Upper bound of the quarantine.
    pub max_quarantine: Duration,
    /// Shortest time between two load reports to a sibling.
    pub min_report_interval: Duration,
    /// Longest time between two load reports. A sibling that misses one receives the next before
    /// `sibling_timeout`.
    pub max_report_interval: Duration,
    /// Time without a message after which a sibling counts as lost.
    pub sibling_timeout: Duration,
    /// Time after a standstill during which new jobs are not placed, because disconnects of callers may still be
    /// unread.
    pub standstill_hold: Duration,
    /// Time without a message of any caller, sibling or target after which the entry gives up its jobs. Callers
    /// that have left unnoticed submit their jobs to another entry later than that.
    pub isolation_timeout: Duration,
    /// Number of targets that went down under a task at which its job fails.
    pub max_target_losses: u32,
    /// Limits on the size of one job.
    pub job_limits: JobLimits,
    /// Maximum size of the coordinated jobs: the number of their tasks, steps and dependencies. Each of them takes up to
    /// about 1 KiB of memory.
    pub max_size: u64,
    /// Run time assumed for a step without an estimate.
    pub default_estimate: Duration,
    /// Factor on the run time of a task on a rack that does not hold its data; at least 1.
    pub remote_slowdown: f32,
    /// Longest time that a task waits for a target on the rack of its data.
    pub max_rack_wait: Duration,
    /// Rate of the link of this entry; without one it counts as unlimited.
    pub link_rate: Option<LinkRate>,
    /// Longest wait of a poll on a busy link. With the timeout of a call it is below `target_timeout`.
    pub max_busy_poll_wait: Duration,
    /// Shortest time between two load reports to a sibling on a busy link.
    pub min_busy_report_interval: Duration,
    /// Longest time between two load reports on a busy link.
    pub max_busy_report_interval: Duration,
    /// Time without a message to a sibling after which it gets one without content, on a link with a rate. Two of these
    /// are below `sibling_timeout`.
    pub max_silence: Duration,
    /// When a job is refused for lack of capacity, and when it is given up while it waits.
    pub load_shedding: LoadShedding,
    /// Order in which waiting orders are served.
    pub queue_order: QueueOrder,
    /// Whether the estimates of callers are corrected by the run times of the same kind of work, if a wait is expected.
    pub learns_run_times: bool,
}

impl Options {
    /// Returns the factor on the run time elsewhere for the one that was given. The default applies if there is none, or if it
    /// is out of range.
    #[must_use]
    pub fn remote_slowdown_or_default(given: Option<f64>) -> f32 {
        let usable = given.filter(|factor| (1.0..=MAX_REMOTE_SLOWDOWN).contains(factor));
        usable.map_or(DEFAULT_REMOTE_SLOWDOWN, |factor| factor as f32)
    }

    /// Returns the longest time that a lease lasts on the clock of an entry, if it is not extended.
    pub(crate) fn max_lease_duration(&self) -> Duration {
        let slowest = 1000_u32.saturating_sub(self.max_drift_per_mille).max(1);
        self.lease * 1000 / slowest + self.lease_margin
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(700),
            max_open_calls: 32,
            max_poll_wait: Duration::from_millis(150),
            poll_retry_delay: Duration::from_millis(100),
            target_timeout: Duration::from_millis(550),
            unreachable_after: Duration::from_secs(5),
            max_drift_per_mille: 20,
            lease_margin: Duration::from_millis(60),
            stop_retry_delay: Duration::from_millis(150),
            max_unconfirmed_stop: Duration::from_millis(50),
            progress_timeout: Duration::from_millis(300),
            min_quarantine: Duration::from_millis(1500),
            max_quarantine: Duration::from_secs(6),
            min_report_interval: Duration::from_millis(100),
            max_report_interval: Duration::from_millis(130),
            sibling_timeout: Duration::from_millis(400),
            standstill_hold: Duration::from_millis(50),
            isolation_timeout: Duration::from_millis(600),
            max_target_losses: 2,
            job_limits: JobLimits::default(),
            max_size: 20_000,
            default_estimate: Duration::from_millis(200),
            remote_slowdown: DEFAULT_REMOTE_SLOWDOWN,
            max_rack_wait: Duration::from_millis(500),
            link_rate: None,
            max_busy_poll_wait: Duration::from_millis(250),
            min_busy_report_interval: Duration::from_millis(300),
            max_busy_report_interval: Duration::from_millis(400),
            max_silence: Duration::from_millis(165),
            load_shedding: LoadShedding::default(),
            queue_order: QueueOrder::default(),
            learns_run_times: true,
        }
    }
}
