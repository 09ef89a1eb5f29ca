use std::collections::VecDeque;

use crate::SiblingMessage;

/// Maximum number of messages kept for an unreachable sibling, about 200 bytes each.
const MAX_KEPT_MESSAGES: usize = 4096;

/// Messages to a sibling that it has not acknowledged yet.
///
/// When the link is lost, orders, cancellations and loads are discarded, because the sibling counts them as
/// lost. Ends of orders and losses of targets remain valid and are delivered once the sibling is reachable again: its
/// jobs may still wait for the ends, and its callers may submit jobs whose tasks have brought down targets. Requests for
/// loads remain as well. The session
/// of two siblings that exchange no loads has mostly expired, which loses the link.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    messages: VecDeque<SiblingMessage>,
    /// Number of messages at the front that are being delivered.
    sending: usize,
    /// Number of times that the link was lost.
    losses: u64,
}

impl Outbox {
    /// Adds a message. Consecutive loads are merged.
    pub fn push(&mut self, message: SiblingMessage) {
        let is_waiting = self.messages.len() > self.sending;
        match message {
            SiblingMessage::Load(later) if is_waiting => match self.messages.pop_back() {
                Some(SiblingMessage::Load(earlier)) => {
                    let merged = earlier.followed_by(later);
                    self.messages.push_back(SiblingMessage::Load(merged));
                }
                last => {
                    self.messages.extend(last);
                    self.messages.push_back(SiblingMessage::Load(later));
                }
            },
            message => self.messages.push_back(message),
        }
    }

    /// Returns up to `max_messages` messages to deliver. They are kept until they are acknowledged or the
    /// link is lost.
    pub fn next_batch(&mut self, max_messages: usize) -> Vec<SiblingMessage> {
        self.sending = self.messages.len().min(max_messages);
        self.messages.iter().take(self.sending).cloned().collect()
    }

    /// Removes the messages of the last batch, which the sibling has accepted.
    pub fn acknowledge_batch(&mut self) {
        self.messages.drain(..self.sending);
        self.sending = 0;
    }

    /// Discards all messages except the ends of orders, the losses of targets and requests for loads, and the oldest of
    /// these beyond the limit.
    pub fn handle_link_loss(&mut self) {
        self.sending = 0;
        self.losses += 1;
        self.messages.retain(|message| {
            matches!(
                message,
                SiblingMessage::Ended { .. } | SiblingMessage::TargetsLost(_) | SiblingMessage::LoadRequest
            )
        });
        let excess = self.messages.len().saturating_sub(MAX_KEPT_MESSAGES);
        self.messages.drain(..excess);
    }

    /// Returns how many times the link was lost. A session, and the batch in flight, are outdated when this
    /// number has changed since.
    pub const fn losses(&self) -> u64 {
        self.losses
    }

    /// Returns the number of unacknowledged messages.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Returns whether all messages are acknowledged.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }
}
