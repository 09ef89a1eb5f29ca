use kqr_types::{CellView, InstanceId, Instant};
use serde::{Deserialize, Serialize};

use crate::{CellMessage, CellRecord, InstanceIncarnation, WallClock};

/// An effect of the state machine. Effects must be performed in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Output {
    /// Send a message. It may be lost.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Message.
        message: Box<CellMessage>,
    },
    /// Write a record to stable storage before any later output is performed. An instance without a disk
    /// ignores it.
    Persist(CellRecord),
    /// An epoch has been agreed on. It ends any lease of an earlier epoch.
    Epoch {
        /// Membership.
        view: CellView,
        /// Time from which the members together have a record of every job. A job from before it may have
        /// run.
        since: WallClock,
    },
    /// The end of the current epoch's lease has changed. The lease has ended if `until` is not later than
    /// now.
    Lease {
        /// End of the lease, on this instance's clock.
        until: Instant,
    },
    /// As leader, this instance suspects a member, whose renewals stopped, or has cleared the suspicion.
    Suspicion {
        /// Member.
        member: InstanceIncarnation,
        /// Whether the member is suspected.
        is_suspected: bool,
    },
    /// This member has left the cell as requested: the current epoch does not include it.
    Left,
}
