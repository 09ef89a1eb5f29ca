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
    /// Group of the sender, or `None` if it has none.
    pub group: Option<GroupDigest>,
    /// Content, handled in order.
    pub bodies: Vec<Body>,
}

/// A part of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// The sender has no group.
    Hello {
        /// Its wall clock.
        wall_clock: WallClock,
        /// Highest epoch that it knows of.
        highest_epoch: Epoch,
    },
    /// The sender's group.
    Founding {
        /// How it began.
        founding: Founding,
        /// The leader of the group, if the sender knows it.
        leader: Option<VoterId>,
    },
    /// A message of the group's log.
    Agreement(Message),
    /// The sender asks the leader for its lease.
    Renew(Renewal),
    /// The leader grants a lease.
    Grant(Grant),
}

/// What an instance tells the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renewal {
    /// When it was sent, on the sender's clock.
    pub sent: Instant,
    /// Life of the sender.
    pub incarnation: Incarnation,
    /// Share of keys, or `None` for a witness.
    pub weight: Option<u32>,
    /// Epoch that the sender has installed; it acts under no earlier one any more.
    pub epoch: Epoch,
    /// Highest epoch that the sender has ever had a lease of.
    pub leased_epoch: Epoch,
    /// Epoch in which the sender's copy of what it missed was complete.
    pub synced: Option<Epoch>,
    /// Whether the sender leaves and has given up its lease.
    pub is_leaving: bool,
}

/// A lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Life of the holder; another life of the same instance ignores it.
    pub incarnation: Incarnation,
    /// When it was asked for, on the holder's clock; the lease counts from there.
    pub asked: Instant,
    /// Epoch that it is good for.
    pub epoch: Epoch,
    /// How long it lasts.
    pub lease: Duration,
}
