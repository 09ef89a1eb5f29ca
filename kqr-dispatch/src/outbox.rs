use std::collections::{BTreeSet, VecDeque};

use crate::{OrderId, SiblingMessage};

/// Maximum size of the messages in one call, below that of a frame.
const MAX_BATCH_BYTES: u64 = 4 << 20;
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
    /// Whether control messages overtake orders.
    has_priorities: bool,
}

impl Outbox {
    /// Creates an empty outbox in which control messages overtake waiting orders, as on a link with a rate.
    pub fn with_priorities() -> Self {
        Self {
            has_priorities: true,
            ..Self::default()
        }
    }

    /// Adds a message. Consecutive loads are merged.
    pub fn push(&mut self, message: SiblingMessage) {
        let position = self.position_of(&message);
        let before = position
            .checked_sub(1)
            .filter(|before| *before >= self.sending)
            .and_then(|before| self.messages.get_mut(before));
        match (before, message) {
            (Some(SiblingMessage::Load(earlier)), SiblingMessage::Load(later)) => {
                *earlier = earlier.clone().followed_by(later);
            }
            (_, message) => self.messages.insert(position, message),
        }
    }

    /// Returns the position at which a message is added: at the end, or before the waiting orders that it may overtake. A
    /// cancellation never overtakes an order that it names.
    fn position_of(&self, message: &SiblingMessage) -> usize {
        let mut position = self.messages.len();
        if !self.has_priorities || matches!(message, SiblingMessage::Run { .. }) {
            return position;
        }
        let cancelled: BTreeSet<OrderId> = match message {
            SiblingMessage::Cancel(order_ids) => order_ids.iter().copied().collect(),
            _ => BTreeSet::new(),
        };
        while position > self.sending {
            let Some(SiblingMessage::Run { orders, .. }) = self.messages.get(position - 1) else {
                break;
            };
            if orders.iter().any(|order| cancelled.contains(&order.id)) {
                break;
            }
            position -= 1;
        }
        position
    }

    /// Returns up to `max_messages` messages to deliver, and no more than fit in one call unless it is a single one. They
    /// are kept until they are acknowledged or the link is lost.
    pub fn next_batch(&mut self, max_messages: usize) -> Vec<SiblingMessage> {
        let (mut batch, mut bytes) = (Vec::new(), 0);
        for message in self.messages.iter().take(max_messages) {
            bytes += message.link_bytes();
            if bytes > MAX_BATCH_BYTES && !batch.is_empty() {
                break;
            }
            batch.push(message.clone());
        }
        self.sending = batch.len();
        batch
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
