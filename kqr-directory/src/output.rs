use kqr_placement::Announcement;
use kqr_types::{InstanceId, TargetId};
use serde::{Deserialize, Serialize};

use crate::Message;

/// What a directory asks of its shell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Output {
    /// Sends a message to a sibling entry. It may be lost.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: Message,
    },
    /// The target takes new work. Also sent when its announcement changed or a suspicion ended.
    Present(Announcement),
    /// The target missed renewals: other targets are to be preferred.
    Suspect(TargetId),
    /// The target gets no new work; running work goes on.
    Leaving(TargetId),
    /// The target expired or left.
    Gone(TargetId),
}
