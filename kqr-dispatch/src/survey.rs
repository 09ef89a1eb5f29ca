use std::time::Duration;

use kqr_types::Instant;

/// Time within which owners answer: two intervals of reports and the opening of a session.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Time for which an owner reports to an entry that asked for its load.
pub(crate) const REPORT_TIME: Duration = Duration::from_secs(10);

/// Request for the loads of all owners. An entry that hears a part of the owners makes it when it knows of no target for a
/// job: the label or the capacity may be found at another owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Survey {
    started: Option<Instant>,
    /// Whether the end of the time for answers was handled.
    is_closed: bool,
}

impl Survey {
    /// Starts a survey, unless the owners still report because of the last one. Returns whether they are to be asked.
    pub(crate) fn start(&mut self, now: Instant) -> bool {
        if self.started.is_some_and(|at| now.since(at) < REPORT_TIME) {
            return false;
        }
        self.started = Some(now);
        self.is_closed = false;
        true
    }

    /// Returns whether answers may be missing.
    pub(crate) fn is_pending(&self, now: Instant) -> bool {
        self.started.is_some_and(|at| now.since(at) < ANSWER_TIME)
    }

    /// Returns `true` once after the time for answers has ended.
    pub(crate) fn take_end(&mut self, now: Instant) -> bool {
        let is_ended = self.started.is_some() && !self.is_pending(now);
        is_ended && !std::mem::replace(&mut self.is_closed, true)
    }
}
