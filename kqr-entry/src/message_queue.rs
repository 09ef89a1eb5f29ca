use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use kqr_wire::mail::Mail;
use tokio::sync::Notify;

/// Messages that may wait; further ones are dropped, which the machines tolerate.
const MAX_MAILS: usize = 65_536;

/// Messages that wait for their way to one peer.
#[derive(Debug, Default)]
pub struct MessageQueue {
    mails: Mutex<VecDeque<Mail>>,
    filled: Notify,
}

impl MessageQueue {
    /// Adds a message. Returns false if it was dropped since too many wait.
    pub fn push(&self, mail: Mail) -> bool {
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
    pub fn take(&self, most: usize) -> Vec<Mail> {
        let mut mails = self.lock();
        let count = mails.len().min(most);
        mails.drain(..count).collect()
    }

    /// Ends when messages were added since the last call. They may have been taken since.
    pub async fn filled(&self) {
        self.filled.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Mail>> {
        self.mails.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
