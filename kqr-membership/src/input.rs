use kqr_types::Epoch;
use serde::{Deserialize, Serialize};

use crate::CellMessage;

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// Time has passed. Expected several times in each heartbeat interval.
    Tick,
    /// A message has arrived.
    Message(Box<CellMessage>),
    /// This member has copied all records that it lacked.
    Synced {
        /// Epoch in which the copy was made.
        epoch: Epoch,
    },
    /// This member is shutting down and has handed over its keys.
    Leave,
}
