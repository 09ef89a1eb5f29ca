use std::collections::BTreeMap;

use kqr_types::{AttemptId, InstanceId, KeyDigest};

use crate::CallerId;

/// An effect that must wait until followers know its cause.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Effect {
    /// The attempt is started.
    Start(AttemptId),
    /// A caller gets the answer of a job.
    Reply(CallerId),
    /// Another data centre gets the promise that the key is not run here.
    Renounce(CallerId),
    /// The final state of the job is known to each follower.
    Settle,
}

/// Effects of one job and the acknowledgements that they wait for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct PendingEffects {
    /// The job.
    pub job: KeyDigest,
    /// For each follower the position that it must have acknowledged; `None` before the cause was sent.
    pub required_acks: Option<BTreeMap<InstanceId, u64>>,
    /// The effects.
    pub effects: Vec<Effect>,
}
