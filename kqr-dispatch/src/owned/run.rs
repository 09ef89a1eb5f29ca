use std::time::Duration;

use kqr_fleet::Resources;
use kqr_types::{Incarnation, InstanceId, Instant};

use crate::{CallFailure, Options, OrderId, RunProgress, TargetTime};

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
    /// Run time that the caller estimated.
    pub(super) estimate: Duration,
    pub(super) state: RunState,
    /// When the start was sent.
    pub(super) sent_at: Instant,
    /// When the current state was entered.
    pub(super) state_since: Instant,
    /// After this instant a delayed start has no effect.
    pub(super) start_by: Instant,
    /// Since when the run must end, whether or not its stops are answered.
    pub(super) must_end_since: Option<Instant>,
    /// When the target confirmed a stop.
    pub(super) stop_confirmed_at: Option<Instant>,
    pub(super) percent: u8,
    /// Clock of the target when the run began or was listed with a higher progress; `None` before.
    pub(super) progressed_at: Option<TargetTime>,
    /// Number of earlier failed runs of the task.
    pub(super) failures: u32,
    /// Whether the task may have brought down a target.
    pub(super) is_suspect: bool,
    /// Incarnation of the target to which the start was sent.
    pub(super) life: Incarnation,
}

impl Run {
    /// Returns a run started by an earlier owner. Its needs are unknown, so it occupies the whole target.
    pub(super) const fn orphaned(now: Instant, capacity: Resources, life: Incarnation) -> Self {
        Self {
            ordered_by: None,
            needs: capacity,
            estimate: Duration::ZERO,
            state: RunState::Running,
            sent_at: now,
            state_since: now,
            start_by: now,
            must_end_since: Some(now),
            stop_confirmed_at: None,
            percent: 0,
            progressed_at: None,
            failures: 0,
            is_suspect: false,
            life,
        }
    }

    /// Records that the run must end, for which the time began at `since`; the earliest one counts.
    pub(super) fn require_end(&mut self, since: Instant) {
        let earlier = self.must_end_since.unwrap_or(since);
        self.must_end_since = Some(earlier.min(since));
    }

    /// Returns whether the run must end and its stop is not confirmed yet.
    pub(super) const fn is_end_unconfirmed(&self) -> bool {
        self.must_end_since.is_some() && self.stop_confirmed_at.is_none()
    }

    /// Returns whether the run must end and its stop was not confirmed in time. A late confirmation does not
    /// count, because the target may take a while to end the run.
    pub(super) fn is_overdue(&self, now: Instant, options: &Options) -> bool {
        let max_unconfirmed_stop = options.max_unconfirmed_stop;
        let is_due = self
            .must_end_since
            .is_some_and(|since| since + max_unconfirmed_stop <= now);
        is_due && (self.stop_confirmed_at.is_none() || self.is_confirmed_late(max_unconfirmed_stop))
    }

    /// Returns whether the run must end and its stop was confirmed later than `max_unconfirmed_stop` after that.
    pub(super) fn is_confirmed_late(&self, max_unconfirmed_stop: Duration) -> bool {
        let due = self.must_end_since.map(|since| since + max_unconfirmed_stop);
        due.is_some_and(|due| self.stop_confirmed_at.is_some_and(|at| at > due))
    }

    /// Applies the answer to the start. Without one the run may have begun.
    pub(super) fn record_start_answer(&mut self, now: Instant, answer: &Result<TargetTime, CallFailure>) {
        match answer {
            Ok(clock) => {
                self.progressed_at = Some(*clock);
                self.set_state(now, RunState::Running);
            }
            Err(CallFailure::NoAnswer(_)) => self.set_state(now, RunState::Uncertain),
            Err(_) => {}
        }
    }

    /// Applies the progress that the target listed at `clock`.
    pub(super) fn update_progress(&mut self, now: Instant, clock: TargetTime, row: &RunProgress) {
        if row.percent > self.percent || self.progressed_at.is_none() {
            self.percent = row.percent;
            self.progressed_at = Some(clock);
        }
        if matches!(self.state, RunState::Starting | RunState::Uncertain) {
            self.set_state(now, RunState::Running);
        }
    }

    pub(super) fn set_state(&mut self, now: Instant, state: RunState) {
        self.state = state;
        self.state_since = now;
    }
}
