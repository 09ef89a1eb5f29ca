use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use kqr_wire::entry_message::EntryMessage;
use tokio::sync::Notify;

/// Messages that may wait; further ones are dropped, which the machines tolerate.
const MAX_MAILS: usize = 65_536;

/// Messages that wait for their way to one peer.
#[derive(Debug, Default)]
pub struct MailQueue {
    mails: Mutex<VecDeque<EntryMessage>>,
    filled: Notify,
}

impl MailQueue {
    /// Adds a message. Returns false if it was dropped since too many wait.
    pub fn push(&self, mail: EntryMessage) -> bool {
        let mut mails = self.lock();
        if mails.len() >= MAX_MAILS {
            return false;
        }
        mails.push_back(mail);
        drop(mails);
        self.filled.notify_one();
        true
    }

    /// Removes the first messages, `most` of them or fewer.
    pub fn take(&self, most: usize) -> Vec<EntryMessage> {
        let mut mails = self.lock();
        let count = mails.len().min(most);
        mails.drain(..count).collect()
    }

    /// Ends when messages were added since the last call. They may have been taken since.
    pub async fn filled(&self) {
        self.filled.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<EntryMessage>> {
        self.mails.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
