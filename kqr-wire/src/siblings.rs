//! Hot calls between entries, carried by tarpc.

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
        /// The submission. Its deadline is what is left of the caller's.
        submission: Submission,
        /// Whether the caller waits for the answer, or is told the present state.
        is_waiting: bool,
    },
    /// Returns the answer or the present state of a job.
    Lookup(JobKey),
    /// Cancels a job and returns its answer.
    Cancel(JobKey),
    /// Asks a data centre never to run a key that it does not know.
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

/// Messages of the called entry's machines that return with the answer to a delivery.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DeliveryReply {
    /// Life of the called entry.
    pub incarnation: Incarnation,
    /// Time of the called entry.
    pub time: HybridTime,
    /// The messages.
    pub mails: Vec<EntryMessage>,
}

/// Calls that an entry answers to its sibling entries.
#[tarpc::service]
pub trait Sibling {
    /// Answers a call about a job that is homed in `data_centre`, or forwards it if `hops` forwards are left. Without a
    /// data centre the called entry answers.
    async fn job(
        call: JobCall,
        data_centre: Option<DataCentre>,
        hops: u8,
        time: HybridTime,
    ) -> Result<JobAnswer, NotAccepted>;
    /// Hands over messages of the caller's machines, in the life of the caller that is named. The reply carries what the
    /// called entry has for the caller by then.
    async fn deliver(
        from: InstanceId,
        incarnation: Incarnation,
        time: HybridTime,
        mails: Vec<EntryMessage>,
    ) -> DeliveryReply;
    /// Returns the identity of the called entry.
    async fn ping() -> InstanceId;
}
