use std::time::Duration;

use kqr_types::ByteSize;

use crate::Fault;

/// Limits of the job machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Options {
    /// How long an ended job is remembered, so that a resubmission finds its answer.
    pub retention: Duration,
    /// How many ended jobs are remembered at most; the oldest are forgotten first.
    pub max_retained_jobs: usize,
    /// How much memory ended jobs take at most; the oldest are forgotten first.
    pub max_retained_bytes: ByteSize,
    /// How long the outcome of a forgotten job is remembered.
    pub tombstone_retention: Duration,
    /// How long after the loss of its records a cell refuses each key that it does not know. It must be longer than a
    /// copy of a submission can be on its way. Zero tells that there is no earlier history, as in a new data centre.
    pub cold_start_window: Duration,
    /// How long after its intent a task may still start on its target.
    pub start_within: Duration,
    /// How often one task is offered to targets before its job fails.
    pub max_offers_per_task: u32,
    /// Time without an acknowledgement after which updates are sent again.
    pub resend_timeout: Duration,
    /// A deliberate fault.
    pub fault: Option<Fault>,
}

impl Options {
    /// Returns how long something is known of a key after its job has ended.
    pub(crate) fn key_retention(&self) -> Duration {
        self.retention + self.tombstone_retention
    }

    /// Returns whether the machine has the deliberate fault `fault`.
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
