use std::{collections::VecDeque, time::Duration};

use kqr_types::{Epoch, Instant};

use crate::{JobMessage, Update};

/// Maximum number of updates in one message.
const MAX_UPDATES_PER_MESSAGE: usize = 512;
/// Size in bytes from which on a message takes no further update.
const MESSAGE_SOFT_LIMIT_BYTES: usize = 1 << 20;
/// Number of sent, unacknowledged updates from which on no further message is sent.
const SEND_WINDOW_UPDATES: usize = 8 * MAX_UPDATES_PER_MESSAGE;
/// Maximum number of doublings of the resend timeout.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;

/// The outgoing and incoming update streams between this member and one other in one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Link {
    /// Outgoing updates that are not yet acknowledged, in order.
    unacked: VecDeque<Update>,
    /// Position of the first update in `unacked`; all earlier updates were acknowledged.
    acked: u64,
    /// Number of updates at the front of `unacked` that were sent.
    sent: usize,
    /// Instant of the last acknowledgement, or of the last send from the front of `unacked`.
    last_progress: Instant,
    /// Resends since the last acknowledgement.
    resends: u32,
    /// Position of the next update that is expected in the incoming stream.
    next_expected: u64,
}

impl Link {
    /// Appends an update to the outgoing stream.
    pub fn push(&mut self, update: Update) {
        self.unacked.push_back(update);
    }

    /// Returns the position after the last update of the outgoing stream.
    pub fn end_position(&self) -> u64 {
        self.acked + self.unacked.len() as u64
    }

    /// Returns the position before which all updates were acknowledged.
    pub fn acked_position(&self) -> u64 {
        self.acked
    }

    /// Returns messages with the unsent updates that the window permits, and marks them as sent.
    pub fn take_unsent(&mut self, now: Instant, epoch: Epoch) -> Vec<JobMessage> {
        let mut messages = Vec::new();
        while self.sent < self.unacked.len() && self.sent < SEND_WINDOW_UPDATES {
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

    /// Returns the end index in `unacked` of the next message, which has at least one update.
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

    /// Marks all sent updates as unsent if none was acknowledged for `timeout`, which doubles with each
    /// resend.
    pub fn rewind(&mut self, now: Instant, timeout: Duration) {
        let timeout = timeout * (1 << self.resends.min(MAX_TIMEOUT_DOUBLINGS));
        if self.sent > 0 && now.since(self.last_progress) >= timeout {
            self.sent = 0;
            self.resends += 1;
        }
    }

    /// Drops the updates before position `next`, which the other member acknowledged.
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

    /// Returns the part of `updates` that continues the incoming stream; empty if there is a gap.
    pub fn receive(&mut self, first: u64, updates: Vec<Update>) -> Vec<Update> {
        let end = first + updates.len() as u64;
        if first > self.next_expected || end <= self.next_expected {
            return Vec::new();
        }
        let known = (self.next_expected - first) as usize;
        self.next_expected = end;
        updates.into_iter().skip(known).collect()
    }

    /// Returns the acknowledgement of the received updates.
    pub fn acknowledgement(&self, epoch: Epoch) -> JobMessage {
        JobMessage::Ack {
            epoch,
            next: self.next_expected,
        }
    }
}
