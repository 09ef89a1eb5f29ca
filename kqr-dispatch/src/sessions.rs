use std::{collections::BTreeMap, time::Duration};

use kqr_types::{InstanceId, Instant};

use crate::Delivery;

/// An open session with a sibling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Session {
    id: u64,
    /// Number of the next expected message.
    next_message: u64,
    /// When the last accepted message was sent at the earliest, or the session was opened.
    last_sent_at: Instant,
}

/// Receiving side of the sessions in which siblings deliver messages.
///
/// The receiver assigns the session number. A session expires when the sibling timeout has passed since its last message
/// was sent. A message that was delayed for longer is rejected: its sender has counted it as lost by then, and
/// may have ordered the task again.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    open: BTreeMap<InstanceId, Session>,
}

impl Sessions {
    /// Opens a session with `sibling`. Returns its number, and whether it replaces an earlier one.
    pub fn open(&mut self, now: Instant, sibling: &InstanceId) -> (u64, bool) {
        let former = self.open.get(sibling).map_or(0, |session| session.id);
        let session = Session {
            id: now.0.max(former + 1),
            next_message: 0,
            last_sent_at: now,
        };
        self.open.insert(sibling.clone(), session);
        (session.id, former > 0)
    }

    /// Accepts a delivery. Returns how many of its messages were already accepted, or `None` if the session has expired or
    /// was replaced.
    pub fn accept(
        &mut self,
        now: Instant,
        sibling: &InstanceId,
        delivery: &Delivery,
        timeout: Duration,
    ) -> Option<u64> {
        let open = self.open.get_mut(sibling)?;
        if open.id != delivery.session || now.since(open.last_sent_at) >= timeout {
            return None;
        }
        let duplicates = open.next_message.saturating_sub(delivery.first);
        open.last_sent_at = open.last_sent_at.max(delivery.sent_at.0.min(now));
        let next = delivery.first + delivery.messages.len() as u64;
        open.next_message = open.next_message.max(next);
        Some(duplicates)
    }
}
