use std::sync::Arc;

use kqr_types::JobKey;

use super::{EntryDriver, TargetClient};

/// Registration of a caller that waits for a job. The job is abandoned when its last guard is dropped without
/// an answer.
#[derive(Debug)]
pub(super) struct JobGuard<Client>
where
    Client: TargetClient,
{
    pub(super) driver: Arc<EntryDriver<Client>>,
    pub(super) job: JobKey,
    pub(super) waiter: u64,
}

impl<Client> Drop for JobGuard<Client>
where
    Client: TargetClient,
{
    fn drop(&mut self) {
        self.driver.remove_waiter(&self.job, self.waiter);
    }
}
