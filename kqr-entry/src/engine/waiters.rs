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

/// Answer of a job or the refusal of a submission.
pub type Answer = Result<JobAnswer, NotAccepted>;

/// The callers that wait for answers at this instance.
#[derive(Debug, Default)]
pub struct Waiters {
    next: AtomicU64,
    senders: Mutex<BTreeMap<CallerId, oneshot::Sender<Answer>>>,
}

impl Waiters {
    /// Adds a caller and returns where its answer arrives.
    pub fn add(&self) -> (CallerId, oneshot::Receiver<Answer>) {
        let caller = CallerId(self.next.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        lock(&self.senders).insert(caller, tx);
        (caller, rx)
    }

    /// Answers a caller, if it still waits.
    pub fn answer(&self, caller: CallerId, answer: Answer) {
        let sender = lock(&self.senders).remove(&caller);
        if let Some(tx) = sender {
            // A caller that has gone needs no answer.
            let _ = tx.send(answer);
        }
    }

    /// Removes a caller and returns whether it was waiting.
    pub fn remove(&self, caller: CallerId) -> bool {
        lock(&self.senders).remove(&caller).is_some()
    }
}
