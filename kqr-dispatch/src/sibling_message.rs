use serde::{Deserialize, Serialize};

use crate::{LoadReport, RunEnd, RunOrder, Ticket};
use kqr_types::TargetId;

/// Message between two entries. Messages of one life arrive in their order and once, or the link is reported lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SiblingMessage {
    /// Load of the sender; it shows too that the sender is alive.
    Load(LoadReport),
    /// Orders of the sender, as coordinator.
    Run(Vec<RunOrder>),
    /// Orders that the sender takes back, as coordinator.
    Cancel(Vec<Ticket>),
    /// Orders that were sent to a target, told by the owner.
    Begun(Vec<Ticket>),
    /// The end of an order, told by the owner.
    Ended {
        /// The order.
        ticket: Ticket,
        /// How it ended.
        end: RunEnd,
        /// Target on which it ended, if it was sent to one.
        target: Option<TargetId>,
    },
}
