use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::{ClientBudget, RequestScope};

/// An admitted connection. It counts until the last clone is dropped.
#[derive(Clone, Debug)]
pub struct ConnectionTicket {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    budget: ClientBudget,
    id: u64,
    close: CancellationToken,
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.budget.remove(self.id);
    }
}

impl ConnectionTicket {
    pub(crate) fn new(budget: ClientBudget, id: u64, close: CancellationToken) -> Self {
        let shared = Shared { budget, id, close };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Records that the head of a request was parsed. Returns its scope.
    pub fn begin_request(&self) -> RequestScope {
        RequestScope::new(self.clone())
    }

    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.shared.close.cancelled().await;
    }

    /// Records that the connection carries several requests at a time.
    pub fn record_multiplexed(&self) {
        self.shared.budget.record_multiplexed(self.shared.id);
    }

    /// Records that bytes were received.
    pub fn record_read(&self, bytes: usize) {
        self.shared.budget.record_read(self.shared.id, bytes);
    }

    /// Records that bytes were sent, or that the client takes no more for now.
    pub fn record_write(&self, is_blocked: bool) {
        self.shared.budget.record_write(self.shared.id, is_blocked);
    }

    pub(crate) fn budget(&self) -> &ClientBudget {
        &self.shared.budget
    }

    pub(crate) fn id(&self) -> u64 {
        self.shared.id
    }
}
