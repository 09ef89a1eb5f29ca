use std::{net::SocketAddr, sync::Arc, time::Duration};

use kqr_fleet::FencingToken;
use kqr_types::{Incarnation, TargetId};

use crate::{RunId, TargetTime};

/// Identifier of a call to a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Destination of a call, with the fencing token that authorizes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEndpoint {
    /// Expected target; another target at the same address refuses the call.
    pub target: TargetId,
    /// Incarnation for which the call was decided. A start must reach no other one, which may have other labels and another
    /// capacity.
    pub life: Incarnation,
    /// Address for calls.
    pub address: SocketAddr,
    /// Fencing token of the owner.
    pub token: FencingToken,
}

/// Start of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// Run to start.
    pub run: RunId,
    /// Payload passed to the task.
    pub spec: Arc<str>,
    /// End of the lease on the target's clock; a start that arrives later has no effect.
    pub lease_until: TargetTime,
}

/// Stop of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopCall {
    /// Run to stop. If it has not begun, the target refuses later starts of it.
    pub run: RunId,
}

/// Query for the active and ended runs of a target; the answer may be held until a run ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollCall {
    /// New end of the lease of all runs, on the target's clock; `None` leaves the lease unchanged.
    pub lease_until: Option<TargetTime>,
    /// Number of the last processed end; the target discards the ends up to it.
    pub ack_cursor: u64,
    /// Longest time to wait for a run to end.
    pub wait: Duration,
}

/// A call to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetCall {
    /// Start a task.
    Start(StartCall),
    /// Stop a run.
    Stop(StopCall),
    /// Query the runs.
    Poll(PollCall),
}
