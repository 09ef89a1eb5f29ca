use kqr_types::{CellView, InstanceId, Instant};
use serde::{Deserialize, Serialize};

use crate::{CellMessage, CellRecord, InstanceIncarnation, WallClock};

/// An effect of the cell. Effects are performed in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Output {
    /// A message is to be sent; it may be lost.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: Box<CellMessage>,
    },
    /// A record is to be synced before any later output is performed; an instance without a disk ignores it.
    Persist(CellRecord),
    /// An epoch is agreed. A lease of an earlier epoch has ended with it.
    Epoch {
        /// Membership.
        view: CellView,
        /// Since when the members together remember each job. What is older may have run.
        since: WallClock,
    },
    /// The lease of the present epoch lasts until then; it has ended if that is not later than now.
    Lease {
        /// End, on the own clock.
        until: Instant,
    },
    /// The leader has not heard a member for some time, or hears it again.
    Suspicion {
        /// The member.
        member: InstanceIncarnation,
        /// Whether it is suspected.
        is_suspected: bool,
    },
    /// This member is in no epoch any more, as it asked for.
    Left,
}
