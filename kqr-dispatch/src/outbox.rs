use std::collections::VecDeque;

use crate::SiblingMessage;

/// Most ends of orders that are kept for a sibling that can't be reached, about 200 bytes each.
const MAX_KEPT_ENDS: usize = 4096;

/// Messages to a sibling that it has not taken yet.
///
/// When the link is lost, orders, cancellations and loads are void: the sibling counts them as lost. Ends of orders stay
/// true, and are handed over as soon as the sibling is reached again: its jobs may still wait for them.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    messages: VecDeque<SiblingMessage>,
    /// Messages at the front that are being handed over.
    sending: usize,
}

impl Outbox {
    /// Adds a message. Of several loads in a row only the last one is kept.
    pub fn push(&mut self, message: SiblingMessage) {
        let is_load = matches!(message, SiblingMessage::Load(_));
        let is_waiting = self.messages.len() > self.sending;
        if is_load
            && is_waiting
            && let Some(last @ SiblingMessage::Load(_)) = self.messages.back_mut()
        {
            *last = message;
        } else {
            self.messages.push_back(message);
        }
    }

    /// Returns the next messages to hand over, `most` at most. They stay until they are taken or the link is lost.
    pub fn next_batch(&mut self, most: usize) -> Vec<SiblingMessage> {
        self.sending = self.messages.len().min(most);
        self.messages.iter().take(self.sending).cloned().collect()
    }

    /// Removes the messages of the last batch: the sibling has taken them.
    pub fn acknowledge_batch(&mut self) {
        self.messages.drain(..self.sending);
        self.sending = 0;
    }

    /// Drops what is void after the loss of the link.
    pub fn handle_link_loss(&mut self) {
        self.sending = 0;
        self.messages
            .retain(|message| matches!(message, SiblingMessage::Ended { .. }));
        let excess = self.messages.len().saturating_sub(MAX_KEPT_ENDS);
        self.messages.drain(..excess);
    }

    /// Returns the number of messages.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Returns whether there is no message.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }
}
