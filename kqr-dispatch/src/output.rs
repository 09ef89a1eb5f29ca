use kqr_types::{InstanceId, JobKey};

use crate::{CallId, Decision, JobEnd, SiblingMessage, TargetCall, TargetEndpoint};

/// Output of the [`Dispatcher`](crate::Dispatcher).
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call a target.
    Call {
        /// Identifier that the answer refers to.
        id: CallId,
        /// Destination of the call.
        endpoint: TargetEndpoint,
        /// Call to send.
        call: TargetCall,
    },
    /// Send a message to a sibling.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message to send.
        message: SiblingMessage,
    },
    /// Discard the undelivered messages to a sibling, except the ends of orders, and open a new session before
    /// the next one.
    ResetLink {
        /// Sibling that counts as lost.
        sibling: InstanceId,
    },
    /// Answer the callers of a job.
    JobEnded {
        /// Key of the job.
        job: JobKey,
        /// Outcome of the job.
        end: JobEnd,
    },
    /// Log a decision.
    Decision(Decision),
}
