use std::{net::SocketAddr, sync::Arc, time::Duration};

use kqr_fleet::FencingToken;
use kqr_types::TargetId;

use crate::{RunId, TargetTime};

/// Number of a call to a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Where a call goes, and under which ownership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEndpoint {
    /// Target that is meant; another one at the address refuses the call.
    pub target: TargetId,
    /// Address for orders.
    pub address: SocketAddr,
    /// Token of the ownership.
    pub token: FencingToken,
}

/// Start of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// The run.
    pub run: RunId,
    /// What the task is told.
    pub spec: Arc<str>,
    /// End of the lease by the target's clock; a start that arrives later does nothing.
    pub lease_until: TargetTime,
}

/// Stop of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopCall {
    /// The run. One that has not begun is refused from then on.
    pub run: RunId,
}

/// Look at what runs and what has ended; it waits for an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollCall {
    /// New end of the lease of all that runs, by the target's clock; without one the lease stays.
    pub lease_until: Option<TargetTime>,
    /// Number of the last end that was taken in; the target forgets up to it.
    pub ack_cursor: u64,
    /// Longest wait for an end.
    pub wait: Duration,
}

/// A call to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetCall {
    /// Start a task.
    Start(StartCall),
    /// Stop a run.
    Stop(StopCall),
    /// Look at the runs.
    Poll(PollCall),
}
