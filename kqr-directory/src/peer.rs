use std::{collections::BTreeMap, time::Duration};

use kqr_types::{Instant, TargetId};

/// Time after which an unacknowledged delta is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// Number of times that a delta is sent. After that, the comparison of digests repairs the loss.
const MAX_DELTA_SENDS: u32 = 15;

/// Changes that a sibling entry has not acknowledged yet.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    pending: BTreeMap<TargetId, u64>,
    last_sent: Option<Instant>,
    send_count: u32,
}

impl Peer {
    /// Adds the change `number` of a target to the unacknowledged ones.
    pub fn add_pending(&mut self, id: TargetId, number: u64) {
        self.pending.insert(id, number);
        self.last_sent = None;
        self.send_count = 0;
    }

    /// Removes all changes up to `number`, which the sibling has received.
    pub fn acknowledge(&mut self, number: u64) {
        self.pending.retain(|_, change| *change > number);
    }

    /// Returns the targets of the delta that is due at `now`, if any, and counts it as sent.
    pub fn take_due(&mut self, now: Instant) -> Vec<TargetId> {
        let is_waiting = self
            .last_sent
            .is_some_and(|last_sent| now.since(last_sent) < RESEND_INTERVAL);
        if self.pending.is_empty() || is_waiting {
            return Vec::new();
        }
        if self.send_count >= MAX_DELTA_SENDS {
            self.pending.clear();
            return Vec::new();
        }
        self.last_sent = Some(now);
        self.send_count += 1;
        self.pending.keys().cloned().collect()
    }
}
