//! Hot calls between entries, carried by tarpc.

use kqr_jobs::{JobAnswer, NotAccepted, Submission};
use kqr_placement::Announcement;
use kqr_types::{InstanceId, JobKey, TargetId};

/// Calls that an entry answers to its sibling entries.
#[tarpc::service]
pub trait Sibling {
    /// Submits a job at the home of its key and waits for the answer, or returns the present state at once.
    async fn submit(submission: Submission, is_waiting: bool) -> Result<JobAnswer, NotAccepted>;
    /// Returns the answer or the present state of a job.
    async fn lookup(key: JobKey) -> Result<JobAnswer, NotAccepted>;
    /// Cancels a job and returns its answer.
    async fn cancel(key: JobKey) -> Result<JobAnswer, NotAccepted>;
    /// Tells of a target that was announced at the calling entry.
    async fn announced(announcement: Announcement);
    /// Tells of a target that leaves.
    async fn left(target: TargetId);
    /// Returns the identity of the called entry.
    async fn ping() -> InstanceId;
}
