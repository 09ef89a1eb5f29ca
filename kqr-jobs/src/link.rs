use std::{collections::VecDeque, time::Duration};

use kqr_types::{Epoch, Instant};

use crate::{JobMessage, Update};

/// Most updates of one message.
const MAX_UPDATES_PER_MESSAGE: usize = 512;
/// Size after which a message takes no further update, in bytes.
const MESSAGE_SOFT_LIMIT_BYTES: usize = 1 << 20;
/// Most updates that are sent and not yet acknowledged.
const MAX_UNACKED_UPDATES: usize = 8 * MAX_UPDATES_PER_MESSAGE;
/// Most doublings of the time after which updates are sent again.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;

/// The streams between this member and one other member in one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Link {
    /// Updates that were not acknowledged, in order.
    unacked: VecDeque<Update>,
    /// Position of the first of `queued`; each earlier update was acknowledged.
    acked: u64,
    /// Number of updates at the front of `queued` that were sent.
    sent: usize,
    /// Instant of the last progress or repetition.
    last_progress: Instant,
    /// Repetitions since the last progress.
    resends: u32,
    /// Position of the next update of the other member's stream.
    next_expected: u64,
}

impl Link {
    /// Appends an update to the stream.
    pub fn push(&mut self, update: Update) {
        self.unacked.push_back(update);
    }

    /// Returns the position after the last update of the stream.
    pub fn end_position(&self) -> u64 {
        self.acked + self.unacked.len() as u64
    }

    /// Returns the position before which each update was acknowledged.
    pub fn acked_position(&self) -> u64 {
        self.acked
    }

    /// Returns the messages for what was not sent yet, as far as the window allows.
    pub fn take_unsent(&mut self, now: Instant, epoch: Epoch) -> Vec<JobMessage> {
        let mut messages = Vec::new();
        while self.sent < self.unacked.len() && self.sent < MAX_UNACKED_UPDATES {
            if self.sent == 0 {
                self.last_progress = now;
            }
            let until = self.message_end();
            messages.push(JobMessage::Updates {
                epoch,
                first: self.acked + self.sent as u64,
                updates: self.unacked.range(self.sent..until).cloned().collect(),
            });
            self.sent = until;
        }
        messages
    }

    /// Returns the end of the next message in `queued`; it has at least one update.
    fn message_end(&self) -> usize {
        let mut bytes = 0;
        let mut end = self.sent;
        for update in self.unacked.range(self.sent..).take(MAX_UPDATES_PER_MESSAGE) {
            bytes += update.bytes();
            end += 1;
            if bytes >= MESSAGE_SOFT_LIMIT_BYTES {
                break;
            }
        }
        end
    }

    /// Marks what was sent as lost if the other member acknowledged nothing for `timeout`, which doubles each time.
    pub fn rewind(&mut self, now: Instant, timeout: Duration) {
        let timeout = timeout * (1 << self.resends.min(MAX_TIMEOUT_DOUBLINGS));
        if self.sent > 0 && now.since(self.last_progress) >= timeout {
            self.sent = 0;
            self.resends += 1;
        }
    }

    /// Handles an acknowledgement.
    pub fn acknowledge(&mut self, now: Instant, next: u64) {
        let count = next.saturating_sub(self.acked).min(self.unacked.len() as u64) as usize;
        if count == 0 {
            return;
        }
        self.unacked.drain(..count);
        self.acked += count as u64;
        self.sent = self.sent.saturating_sub(count);
        self.last_progress = now;
        self.resends = 0;
    }

    /// Returns those of `updates` that are next in the other member's stream; none if there is a gap.
    pub fn receive(&mut self, first: u64, updates: Vec<Update>) -> Vec<Update> {
        let end = first + updates.len() as u64;
        if first > self.next_expected || end <= self.next_expected {
            return Vec::new();
        }
        let known = (self.next_expected - first) as usize;
        self.next_expected = end;
        updates.into_iter().skip(known).collect()
    }

    /// Returns the acknowledgement of what was received.
    pub fn acknowledgement(&self, epoch: Epoch) -> JobMessage {
        JobMessage::Ack {
            epoch,
            next: self.next_expected,
        }
    }
}
