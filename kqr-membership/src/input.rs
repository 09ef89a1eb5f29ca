use kqr_types::Epoch;
use serde::{Deserialize, Serialize};

use crate::CellMessage;

/// An input of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// Time has passed. Given several times in each heartbeat interval.
    Tick,
    /// A message has arrived.
    Message(Box<CellMessage>),
    /// The copy of what this member missed is complete in an epoch.
    Synced {
        /// The epoch that it was made in.
        epoch: Epoch,
    },
    /// This member is about to stop and has handed over its keys.
    Leave,
}
