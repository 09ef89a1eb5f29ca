use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use kqr_wire::entry_message::EntryMessage;
use tokio::sync::Notify;

/// Maximum number of queued messages. Further ones are dropped, which the state machines tolerate.
const MAX_QUEUED_MESSAGES: usize = 65_536;

/// Messages that wait to be sent to one peer.
#[derive(Debug, Default)]
pub struct MessageQueue {
    messages: Mutex<VecDeque<EntryMessage>>,
    message_added: Notify,
}

impl MessageQueue {
    /// Appends a message. Returns false if it was dropped because the queue is full.
    pub fn push(&self, message: EntryMessage) -> bool {
        let mut messages = self.lock();
        if messages.len() >= MAX_QUEUED_MESSAGES {
            return false;
        }
        messages.push_back(message);
        drop(messages);
        self.message_added.notify_one();
        true
    }

    /// Removes and returns the first messages, at most `max_count`.
    pub fn take(&self, max_count: usize) -> Vec<EntryMessage> {
        let mut messages = self.lock();
        let count = messages.len().min(max_count);
        messages.drain(..count).collect()
    }

    /// Waits until messages were added since the last call. They may have been removed meanwhile.
    pub async fn wait_for_messages(&self) {
        self.message_added.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<EntryMessage>> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
