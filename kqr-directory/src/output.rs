use kqr_placement::Announcement;
use kqr_types::{InstanceId, TargetId};
use serde::{Deserialize, Serialize};

use crate::Message;

/// An effect of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Output {
    /// Send a message to a sibling entry. It may be lost.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: Message,
    },
    /// The target accepts new work. Also emitted when its announcement has changed or it is no longer
    /// suspected.
    Present(Announcement),
    /// The target missed renewals. Other targets should be preferred.
    Suspect(TargetId),
    /// The target accepts no new work. Its running work continues.
    Leaving(TargetId),
    /// The target has expired or left.
    Gone(TargetId),
}
