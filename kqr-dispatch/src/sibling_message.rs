use serde::{Deserialize, Serialize};

use crate::{LoadReport, LostRun, OrderId, RunEnd, RunOrder};
use kqr_types::TargetId;

/// Message between two entries. Messages of one incarnation arrive in order and exactly once, or the link is
/// reported as lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SiblingMessage {
    /// Load of the sender; also serves as a heartbeat.
    Load(LoadReport),
    /// Orders from the sender as coordinator.
    Run(Vec<RunOrder>),
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
    },
    /// Runs whose targets went down, whichever entry coordinates them.
    TargetsLost(Vec<LostRun>),
}
