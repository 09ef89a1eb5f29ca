use std::collections::BTreeMap;

use kqr_types::{AttemptId, InstanceId, KeyDigest};

use crate::CallerId;

/// An effect that waits until the followers have acknowledged the updates that it depends on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Effect {
    /// Starts the attempt.
    Start(AttemptId),
    /// Sends the answer of the job to a caller.
    Reply(CallerId),
    /// Promises another data centre that the key is not run here.
    Renounce(CallerId),
    /// Marks the job as settled: each follower has its final state.
    Settle,
}

/// Effects of one job and the acknowledgements that they require.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct PendingEffects {
    /// The job.
    pub job: KeyDigest,
    /// Stream position that each follower must acknowledge, or `None` until the updates are queued for
    /// sending.
    pub required_acks: Option<BTreeMap<InstanceId, u64>>,
    /// The effects.
    pub effects: Vec<Effect>,
}
