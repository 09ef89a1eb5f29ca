use std::{collections::BTreeMap, time::Duration};

use kqr_types::{InstanceId, Instant};

/// An open session with a sibling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Session {
    id: u64,
    /// Number of the next expected message.
    next_message: u64,
    /// When the last message arrived, or the session was opened.
    last_message_at: Instant,
}

/// Receiving side of the sessions in which siblings deliver messages.
///
/// The receiver assigns the session number. A session expires when no message arrives for the sibling
/// timeout. A message that was delayed for longer is rejected: its sender has counted it as lost by then, and
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
            last_message_at: now,
        };
        self.open.insert(sibling.clone(), session);
        (session.id, former > 0)
    }

    /// Accepts `count` messages with numbers from `first`. Returns how many of them were already accepted, or
    /// `None` if the session has expired or was replaced.
    pub fn accept(
        &mut self,
        now: Instant,
        sibling: &InstanceId,
        session: u64,
        first: u64,
        count: u64,
        timeout: Duration,
    ) -> Option<u64> {
        let open = self.open.get_mut(sibling)?;
        if open.id != session || now.since(open.last_message_at) >= timeout {
            return None;
        }
        let duplicates = open.next_message.saturating_sub(first);
        open.last_message_at = now;
        open.next_message = open.next_message.max(first + count);
        Some(duplicates)
    }
}
