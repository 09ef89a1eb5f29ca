use std::sync::Arc;

use kqr_types::JobKey;

use super::{EntryDriver, TargetPort};

/// One caller that waits for a job. When the last one is dropped without an answer, the job is abandoned.
#[derive(Debug)]
pub(super) struct JobGuard<Port>
where
    Port: TargetPort,
{
    pub(super) shell: Arc<EntryDriver<Port>>,
    pub(super) job: JobKey,
    pub(super) waiter: u64,
}

impl<Port> Drop for JobGuard<Port>
where
    Port: TargetPort,
{
    fn drop(&mut self) {
        self.shell.leave_job(&self.job, self.waiter);
    }
}
