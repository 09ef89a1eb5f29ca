use serde::{Deserialize, Serialize};

use crate::{LoadReport, OrderId, RunEnd, RunOrder};
use kqr_types::TargetId;

/// Message between two entries. Messages of one life arrive in their order and once, or the link is reported lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SiblingMessage {
    /// Load of the sender; it shows too that the sender is alive.
    Load(LoadReport),
    /// Orders of the sender, as coordinator.
    Run(Vec<RunOrder>),
    /// Orders that the sender takes back, as coordinator.
    Cancel(Vec<OrderId>),
    /// Orders that were sent to a target, told by the owner.
    Begun(Vec<OrderId>),
    /// The end of an order, told by the owner.
    Ended {
        /// The order.
        #[serde(rename = "ticket")]
        order_id: OrderId,
        /// How it ended.
        end: RunEnd,
        /// Target on which it ended, if it was sent to one.
        target: Option<TargetId>,
    },
}
