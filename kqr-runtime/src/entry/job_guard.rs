use std::sync::Arc;

use kqr_types::JobKey;

use super::{EntryDriver, TargetClient};

/// One caller that waits for a job. When the last one is dropped without an answer, the job is abandoned.
#[derive(Debug)]
pub(super) struct JobGuard<Client>
where
    Client: TargetClient,
{
    pub(super) shell: Arc<EntryDriver<Client>>,
    pub(super) job: JobKey,
    pub(super) waiter: u64,
}

impl<Client> Drop for JobGuard<Client>
where
    Client: TargetClient,
{
    fn drop(&mut self) {
        self.shell.leave_job(&self.job, self.waiter);
    }
}
