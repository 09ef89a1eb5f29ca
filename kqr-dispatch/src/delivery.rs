use serde::{Deserialize, Serialize};

use crate::{ReceiverTime, SiblingMessage};

/// Consecutive messages of a session, as they are delivered to their receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delivery {
    /// Number of the session.
    pub session: u64,
    /// Number of the first message within the session.
    pub first: u64,
    /// Time that the receiver's clock had certainly reached when the delivery was sent.
    pub sent_at: ReceiverTime,
    /// The messages, at least one.
    pub messages: Vec<SiblingMessage>,
}
