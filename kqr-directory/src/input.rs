use std::collections::BTreeSet;

use kqr_placement::Announcement;
use kqr_types::{Incarnation, InstanceId, TargetId};
use serde::{Deserialize, Serialize};

use crate::Message;

/// An input of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Input {
    /// A target announced itself, or renewed its announcement, at this entry.
    Announced(Announcement),
    /// A target reported to this entry that it is leaving.
    Leaving {
        /// Target.
        id: TargetId,
        /// Incarnation of the target that is leaving, or `None` for the current one.
        incarnation: Option<Incarnation>,
    },
    /// A sibling entry sent a message.
    Peer {
        /// Sender.
        from: InstanceId,
        /// Message.
        message: Message,
    },
    /// The set of sibling entries, without this one, has changed.
    Peers(BTreeSet<InstanceId>),
    /// Time has passed. Expected at least every 100 ms.
    Tick,
}
