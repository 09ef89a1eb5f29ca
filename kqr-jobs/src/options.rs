use std::time::Duration;

use kqr_types::ByteSize;

use crate::Fault;

/// Configuration of the job machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Options {
    /// Time for which an ended job is retained, so that a resubmission gets its answer.
    pub retention: Duration,
    /// Maximum number of ended jobs that are retained; the oldest are dropped first.
    pub max_retained_jobs: usize,
    /// Maximum memory of the retained jobs; the oldest are dropped first.
    pub max_retained_bytes: ByteSize,
    /// Time for which the outcome of a dropped job is retained.
    pub tombstone_retention: Duration,
    /// Time after the loss of its records for which a cell refuses every unknown key.
    ///
    /// Must be longer than a duplicate of a submission can be in transit. Zero means that there is no earlier
    /// history, as in a new data centre.
    pub cold_start_window: Duration,
    /// Time after its intent within which a task may start on its target.
    pub start_within: Duration,
    /// Maximum number of times that a task is offered to targets before its job fails.
    pub max_offers_per_task: u32,
    /// Time without an acknowledgement after which updates are resent; it doubles with each resend.
    pub resend_timeout: Duration,
    /// Fault to inject, with the crate's feature `faults` only.
    pub fault: Option<Fault>,
}

impl Options {
    /// Returns the time for which a key is known after its job has ended.
    pub(crate) fn key_retention(&self) -> Duration {
        self.retention + self.tombstone_retention
    }

    /// Returns whether `fault` is injected.
    pub(crate) fn has(&self, fault: Fault) -> bool {
        cfg!(feature = "faults") && self.fault == Some(fault)
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            max_retained_jobs: 100_000,
            max_retained_bytes: ByteSize(8 << 20),
            tombstone_retention: Duration::from_secs(24 * 3600),
            cold_start_window: Duration::from_secs(60),
            start_within: Duration::from_millis(500),
            max_offers_per_task: 20,
            resend_timeout: Duration::from_millis(20),
            fault: None,
        }
    }
}
