use std::collections::BTreeSet;

use kqr_placement::Announcement;
use kqr_types::{Incarnation, InstanceId, TargetId};
use serde::{Deserialize, Serialize};

use crate::Message;

/// What a directory reacts to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Input {
    /// A target announced itself, or renewed its announcement, at this entry.
    Announced(Announcement),
    /// A target told this entry that it leaves.
    Leaving {
        /// Target.
        id: TargetId,
        /// Life of the target that leaves, or `None` for the present one.
        incarnation: Option<Incarnation>,
    },
    /// A sibling entry sent a message.
    Peer {
        /// Sender.
        from: InstanceId,
        /// Message.
        message: Message,
    },
    /// The sibling entries, without this one, are now these.
    Peers(BTreeSet<InstanceId>),
    /// Time has passed. Expected at least every 100 ms.
    Tick,
}
