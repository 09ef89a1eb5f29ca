use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use kqr_jobs::{CallerId, JobAnswer, NotAccepted};
use tokio::sync::oneshot;

use super::lock;

/// Answer of a job, or the refusal of a request.
pub type Answer = Result<JobAnswer, NotAccepted>;

/// Callers that wait for an answer at this instance.
#[derive(Debug, Default)]
pub struct Waiters {
    next: AtomicU64,
    senders: Mutex<BTreeMap<CallerId, oneshot::Sender<Answer>>>,
}

impl Waiters {
    /// Adds a caller and returns its identifier and the receiver of its answer.
    pub fn add(&self) -> (CallerId, oneshot::Receiver<Answer>) {
        let caller = CallerId(self.next.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        lock(&self.senders).insert(caller, tx);
        (caller, rx)
    }

    /// Sends `answer` to a caller if it still waits.
    pub fn answer(&self, caller: CallerId, answer: Answer) {
        let sender = lock(&self.senders).remove(&caller);
        if let Some(tx) = sender {
            // Sending fails only if the caller has disconnected.
            let _ = tx.send(answer);
        }
    }

    /// Removes a caller. Returns whether it was still waiting.
    pub fn remove(&self, caller: CallerId) -> bool {
        lock(&self.senders).remove(&caller).is_some()
    }
}
