use serde::{Deserialize, Serialize};

use crate::ReceiverTime;

/// Answer to a sender that opens a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenedSession {
    /// Number of the session.
    pub number: u64,
    /// Clock of the receiver.
    pub time: ReceiverTime,
}
