use std::collections::BTreeMap;

use kqr_types::Instant;

/// When the leader sent each round of messages that a majority has not answered yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Contact {
    /// Latest round.
    pub(crate) round: u64,
    /// Latest round that a majority has answered.
    pub(crate) answered: u64,
    /// When that round was sent.
    pub(crate) answered_sent: Instant,
    sent: BTreeMap<u64, Instant>,
}

impl Contact {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            round: 0,
            answered: 0,
            answered_sent: now,
            sent: BTreeMap::new(),
        }
    }

    /// Begins a round at `now`.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.round += 1;
        self.sent.insert(self.round, now);
    }

    /// Notes that a majority has answered `round`.
    pub(crate) fn answer(&mut self, round: u64) {
        if round <= self.answered {
            return;
        }
        let Some(sent) = self.sent.get(&round).copied() else {
            return;
        };
        self.answered = round;
        self.answered_sent = sent;
        self.sent = self.sent.split_off(&round.saturating_add(1));
    }
}
