use std::{collections::BTreeMap, time::Duration};

use kqr_types::{Instant, TargetId};

/// Time after which an unacknowledged delta is repeated.
const RESEND_AFTER: Duration = Duration::from_millis(200);
/// Times that a delta is sent before the digests are left to repair the loss.
const MAX_SENDS: u32 = 15;

/// What a sibling entry has not yet acknowledged.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    pending: BTreeMap<TargetId, u64>,
    sent: Option<Instant>,
    sends: u32,
}

impl Peer {
    /// Notes that the sibling has to learn of the change `number` of a target.
    pub fn note(&mut self, id: TargetId, number: u64) {
        self.pending.insert(id, number);
        self.sent = None;
        self.sends = 0;
    }

    /// Notes that the sibling has all changes up to `number`.
    pub fn acknowledge(&mut self, number: u64) {
        self.pending.retain(|_, change| *change > number);
    }

    /// Returns the targets of a delta that is due now, and notes that it is sent.
    pub fn due(&mut self, now: Instant) -> Vec<TargetId> {
        let is_waiting = self.sent.is_some_and(|sent| now.since(sent) < RESEND_AFTER);
        if self.pending.is_empty() || is_waiting {
            return Vec::new();
        }
        if self.sends >= MAX_SENDS {
            self.pending.clear();
            return Vec::new();
        }
        self.sent = Some(now);
        self.sends += 1;
        self.pending.keys().cloned().collect()
    }
}
