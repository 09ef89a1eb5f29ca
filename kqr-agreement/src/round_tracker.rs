use std::collections::BTreeMap;

use kqr_types::Instant;

/// Send times of the rounds of messages that a majority has not acknowledged yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RoundTracker {
    /// Latest round that was sent.
    pub(crate) latest: u64,
    /// Latest round that a majority has acknowledged.
    pub(crate) quorum_round: u64,
    /// Send time of that round.
    pub(crate) quorum_sent_at: Instant,
    sent_at: BTreeMap<u64, Instant>,
}

impl RoundTracker {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            latest: 0,
            quorum_round: 0,
            quorum_sent_at: now,
            sent_at: BTreeMap::new(),
        }
    }

    /// Starts a round at `now`.
    pub(crate) fn start(&mut self, now: Instant) {
        self.latest += 1;
        self.sent_at.insert(self.latest, now);
    }

    /// Records that a majority has acknowledged `round`.
    pub(crate) fn record_quorum(&mut self, round: u64) {
        if round <= self.quorum_round {
            return;
        }
        let Some(sent) = self.sent_at.get(&round).copied() else {
            return;
        };
        self.quorum_round = round;
        self.quorum_sent_at = sent;
        self.sent_at = self.sent_at.split_off(&round.saturating_add(1));
    }
}
