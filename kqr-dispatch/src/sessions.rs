use std::{collections::BTreeMap, time::Duration};

use kqr_types::{InstanceId, Instant};

/// A session of a sibling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Session {
    id: u64,
    /// Number of the next message.
    next_message: u64,
    /// When the sibling was last heard.
    last_message_at: Instant,
}

/// The sessions in which siblings hand over messages.
///
/// A session is opened by its receiver and ends when nothing was heard for the time of silence. A message that was held
/// up on its way for longer is refused: its sender has counted it as lost by then, and may have ordered the task anew.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    open: BTreeMap<InstanceId, Session>,
}

impl Sessions {
    /// Opens a session of `sibling`. Returns its number, and whether it ends a former one.
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

    /// Takes `count` messages, numbered from `first` on. Returns how many of them were taken before, or `None` if the
    /// session has ended.
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
