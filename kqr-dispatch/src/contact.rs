use kqr_types::Instant;

use crate::{Input, Options};

/// When an entry last heard another process. Before it has heard a sibling or a target it does not count as
/// isolated, since there may be none yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Contact {
    last_at: Option<Instant>,
}

impl Contact {
    /// Records the contact that `input` proves, if any.
    pub(crate) fn record(&mut self, now: Instant, input: &Input) {
        let is_contact = match input {
            Input::Submit(_) | Input::Abandon(_) | Input::Cancel(_) => self.last_at.is_some(),
            Input::TargetReported(_) | Input::MessageReceived { .. } | Input::SessionOpened { .. } => true,
            Input::StartAnswered { answer, .. } | Input::StopAnswered { answer, .. } => answer.is_ok(),
            Input::PollAnswered { answer, .. } => answer.is_ok(),
            Input::Tick | Input::ViewChanged { .. } | Input::LinkLost { .. } | Input::Leave { .. } => false,
        };
        let at = match input {
            Input::MessageReceived { sent_at, .. } => now.min(*sent_at),
            _ => now,
        };
        if is_contact {
            self.last_at = self.last_at.max(Some(at));
        }
    }

    /// Returns whether the entry counts as isolated.
    pub(crate) fn is_lost(&self, now: Instant, options: &Options) -> bool {
        self.last_at
            .is_some_and(|at| now.since(at) >= options.isolation_timeout)
    }
}
