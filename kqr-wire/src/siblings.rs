//! Calls on the hot path between entries, over tarpc.

use kqr_jobs::{JobAnswer, NotAccepted, Submission};
use kqr_telemetry::HybridTime;
use kqr_types::{DataCentre, Incarnation, InstanceId, JobKey};
use serde::{Deserialize, Serialize};

use crate::entry_message::EntryMessage;

/// A call about a job that is answered by the home of its key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobCall {
    /// Submits a job.
    Submit {
        /// The submission. Its deadline is the remaining part of the caller's deadline.
        submission: Submission,
        /// Whether the caller waits for the answer; otherwise the current state is returned.
        is_waiting: bool,
    },
    /// Returns the answer or the current state of a job.
    Lookup(JobKey),
    /// Cancels a job and returns its answer.
    Cancel(JobKey),
    /// Requests that a data centre never runs a key that is unknown to it.
    Renounce(JobKey),
}

impl JobCall {
    /// Returns the key of the job.
    pub fn key(&self) -> &JobKey {
        match self {
            Self::Submit { submission, .. } => &submission.key,
            Self::Lookup(key) | Self::Cancel(key) | Self::Renounce(key) => key,
        }
    }
}

/// Reply to a delivery, with messages from the state machines of the called entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DeliveryReply {
    /// Incarnation of the called entry.
    pub incarnation: Incarnation,
    /// Hybrid time of the called entry.
    pub time: HybridTime,
    /// The messages.
    pub mails: Vec<EntryMessage>,
}

/// Calls that an entry serves to its siblings.
#[tarpc::service]
pub trait Sibling {
    /// Answers a call about a job whose home is in `data_centre`, or forwards the call if `hops`, the number of
    /// remaining forwards, is not zero. Without a data centre, the called entry answers.
    async fn job(
        call: JobCall,
        data_centre: Option<DataCentre>,
        hops: u8,
        time: HybridTime,
    ) -> Result<JobAnswer, NotAccepted>;
    /// Delivers messages from the state machines of the entry `from` in its given incarnation. The reply contains the
    /// messages that the called entry has queued for it.
    async fn deliver(
        from: InstanceId,
        incarnation: Incarnation,
        time: HybridTime,
        mails: Vec<EntryMessage>,
    ) -> DeliveryReply;
    /// Returns the identity of the called entry.
    async fn ping() -> InstanceId;
}
