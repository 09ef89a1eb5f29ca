use std::time::Duration;

use kqr_fleet::Resources;
use kqr_types::{InstanceId, Instant};

use crate::OrderId;

/// What is known of a run at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// The start has no answer yet.
    Starting,
    /// The start got no answer; it may be carried out until its lease ends.
    Uncertain,
    /// It runs, as far as the target has told.
    Running,
    /// It is being stopped.
    Stopping,
}

/// A run at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Run {
    /// Who ordered it; nobody for what an earlier owner left, or whose coordinator is gone.
    pub(super) ordered_by: Option<(InstanceId, OrderId)>,
    pub(super) needs: Resources,
    pub(super) estimate: Duration,
    pub(super) state: RunState,
    /// When the start was sent.
    pub(super) sent_at: Instant,
    /// When the present state was entered.
    pub(super) state_since: Instant,
    /// After this instant a start that has not begun does nothing.
    pub(super) start_by: Instant,
    /// When the target confirmed a stop.
    pub(super) stop_confirmed_at: Option<Instant>,
    pub(super) percent: u8,
    /// When the percent last rose.
    pub(super) progressed_at: Instant,
    /// Failed runs of the task before this one.
    pub(super) failures: u32,
}

impl Run {
    pub(super) fn set_state(&mut self, now: Instant, state: RunState) {
        self.state = state;
        self.state_since = now;
    }
}
