use std::time::Duration;

use kqr_fleet::Resources;
use kqr_types::{InstanceId, Instant};

use crate::OrderId;

/// State of a run on a target, as known to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// The start is not answered yet.
    Starting,
    /// The start failed without an answer; it may take effect until its lease expires.
    Uncertain,
    /// The target has confirmed or listed the run.
    Running,
    /// A stop was sent.
    Stopping,
}

/// A run on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Run {
    /// Coordinator and order of the run; `None` if an earlier owner started it or its coordinator is lost.
    pub(super) ordered_by: Option<(InstanceId, OrderId)>,
    pub(super) needs: Resources,
    pub(super) estimate: Duration,
    pub(super) state: RunState,
    /// When the start was sent.
    pub(super) sent_at: Instant,
    /// When the current state was entered.
    pub(super) state_since: Instant,
    /// After this instant a delayed start has no effect.
    pub(super) start_by: Instant,
    /// When the target confirmed a stop.
    pub(super) stop_confirmed_at: Option<Instant>,
    pub(super) percent: u8,
    /// When the progress last increased.
    pub(super) progressed_at: Instant,
    /// Number of earlier failed runs of the task.
    pub(super) failures: u32,
}

impl Run {
    pub(super) fn set_state(&mut self, now: Instant, state: RunState) {
        self.state = state;
        self.state_since = now;
    }
}
