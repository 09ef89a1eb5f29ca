use std::time::Duration;

use kqr_agreement::{Message, VoterId};
use kqr_types::{Epoch, Incarnation, Instant};
use serde::{Deserialize, Serialize};

use crate::{Founding, GroupDigest, WallClock};

/// A message between two instances of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CellMessage {
    /// Sender.
    pub from: VoterId,
    /// Digest of the sender's group, or `None` if it has none.
    pub group: Option<GroupDigest>,
    /// Parts of the message, handled in order.
    pub bodies: Vec<Body>,
}

/// A part of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Announces that the sender has no group.
    Hello {
        /// Wall clock of the sender.
        wall_clock: WallClock,
        /// Highest epoch known to the sender.
        highest_epoch: Epoch,
    },
    /// Describes the sender's group.
    Founding {
        /// Initial state of the group.
        founding: Founding,
        /// Leader of the group, if known to the sender.
        leader: Option<VoterId>,
    },
    /// Carries a message of the group's agreement protocol.
    Agreement(Message),
    /// Asks the leader to renew the sender's lease.
    Renew(Renewal),
    /// Grants a lease to the receiver.
    Grant(Grant),
}

/// Request for a lease, and the state of the sender that the leader needs to know.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renewal {
    /// Time of sending, on the sender's clock.
    pub sent: Instant,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Weight of the sender in the placement of keys, or `None` for a witness.
    pub weight: Option<u32>,
    /// Epoch that the sender has installed. It no longer acts under an earlier one.
    pub epoch: Epoch,
    /// Highest epoch for which the sender has held a lease.
    pub leased_epoch: Epoch,
    /// Epoch in which the sender completed its copy of the records that it lacked.
    pub synced: Option<Epoch>,
    /// Whether the sender is leaving and has given up its lease.
    pub is_leaving: bool,
}

/// A lease granted by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Incarnation of the holder. Other incarnations of the same instance ignore the grant.
    pub incarnation: Incarnation,
    /// Time of the request, on the holder's clock. The lease starts then.
    pub asked: Instant,
    /// Epoch for which the lease is valid.
    pub epoch: Epoch,
    /// Duration of the lease.
    pub lease: Duration,
}
