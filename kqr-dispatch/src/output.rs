use kqr_types::{InstanceId, JobKey};

use crate::{CallId, Decision, JobEnd, SiblingMessage, TargetCall, TargetEndpoint};

/// Output of the [`Dispatcher`](crate::Dispatcher).
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call a target.
    Call {
        /// Number of the call.
        id: CallId,
        /// Where it goes.
        endpoint: TargetEndpoint,
        /// The call.
        call: TargetCall,
    },
    /// Send a message to a sibling.
    Send {
        /// Sibling.
        to: InstanceId,
        /// The message.
        message: SiblingMessage,
    },
    /// Answer the callers of a job.
    JobEnded {
        /// Job.
        job: JobKey,
        /// How it ended.
        end: JobEnd,
    },
    /// Log a decision.
    Decision(Decision),
}
