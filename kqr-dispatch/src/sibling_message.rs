use serde::{Deserialize, Serialize};

use std::{sync::Arc, time::Duration};

use crate::{LoadUpdate, LostRun, OrderId, RunEnd, RunOrder};
use kqr_types::TargetId;

/// Message between two entries. Messages of one incarnation arrive in order and exactly once, or the link is
/// reported as lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SiblingMessage {
    /// Load of the sender; also serves as a heartbeat.
    Load(LoadUpdate),
    /// Requests the loads of all targets, because an update did not continue the load that the sender knows.
    LoadRequest,
    /// Orders of one job from the sender as coordinator.
    Run {
        /// Payload passed to the tasks, which is the same for all of them.
        spec: Arc<str>,
        /// Orders for tasks of the job.
        orders: Vec<RunOrder>,
    },
    /// Orders that the sender cancels as coordinator.
    Cancel(Vec<OrderId>),
    /// Orders whose start the sender, as owner, has sent to a target.
    Begun(Vec<OrderId>),
    /// End of an order, sent by the owner.
    Ended {
        /// Ended order.
        #[serde(rename = "ticket")]
        order_id: OrderId,
        /// Outcome of the order.
        end: RunEnd,
        /// Target to which the run was sent, if any.
        target: Option<TargetId>,
        /// Run time of a completed run on a target of normal speed.
        run_time: Option<Duration>,
    },
    /// Runs whose targets went down, whichever entry coordinates them.
    TargetsLost(Vec<LostRun>),
    /// Orders that the sender, as coordinator, takes back if they still wait. Those that have begun are not affected.
    TakeBack(Vec<OrderId>),
    /// Orders that may wait and whose jobs have begun elsewhere, sent by the coordinator.
    JobBegun(Vec<OrderId>),
}
