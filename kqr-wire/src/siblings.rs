//! Hot calls between entries, carried by tarpc.

use kqr_jobs::{JobAnswer, NotAccepted, Submission};
use kqr_types::{Incarnation, InstanceId, JobKey};

use crate::mail::Mail;

/// Calls that an entry answers to its sibling entries.
#[tarpc::service]
pub trait Sibling {
    /// Submits a job at the home of its key and waits for the answer, or returns the present state at once.
    async fn submit(submission: Submission, is_waiting: bool) -> Result<JobAnswer, NotAccepted>;
    /// Returns the answer or the present state of a job.
    async fn lookup(key: JobKey) -> Result<JobAnswer, NotAccepted>;
    /// Cancels a job and returns its answer.
    async fn cancel(key: JobKey) -> Result<JobAnswer, NotAccepted>;
    /// Hands over messages of the caller's machines, in the life of the caller that is named.
    async fn deliver(from: InstanceId, incarnation: Incarnation, mails: Vec<Mail>);
    /// Returns the identity of the called entry.
    async fn ping() -> InstanceId;
}
