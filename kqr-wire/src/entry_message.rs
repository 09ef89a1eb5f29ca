//! Messages between the state machines of entries, sent in batches.

use kqr_placement::{ShareGrant, ShareReport};
use kqr_types::{DataCentre, TargetId, TeamName};
use serde::{Deserialize, Serialize};

use crate::loans::{LoanAnswer, LoanRequest, LoanReturn};

/// A message between the state machines of two entries. It may be lost, duplicated or reordered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum EntryMessage {
    /// A message between the instances of the cell of a data centre.
    Cell {
        /// Data centre of the cell.
        data_centre: DataCentre,
        /// The message.
        message: kqr_membership::CellMessage,
    },
    /// Usage report of a member for the slots that the receiver allocates.
    SlotReport(ShareReport<TargetId>),
    /// Slots that are leased to the receiver.
    SlotGrant(ShareGrant<TargetId>),
    /// Usage report of a member for the team quotas that the receiver allocates.
    QuotaReport(ShareReport<TeamName>),
    /// Shares of team quotas that are leased to the receiver.
    QuotaGrant(ShareGrant<TeamName>),
    /// Requests one of the receiver's slots for a waiting task, because the sender has no free slot.
    LoanRequest(LoanRequest),
    /// The answer to a request for a slot.
    LoanAnswer(LoanAnswer),
    /// Returns lent slots.
    LoanReturns(Vec<LoanReturn>),
    /// Numbers of the loans that the sender still uses. Renews their leases.
    LoansInUse(Vec<u64>),
    /// A message between target directories.
    Directory(kqr_directory::Message),
    /// A message between the job state machines of the same shard.
    Jobs {
        /// Index of the shard.
        shard: u16,
        /// The message.
        message: kqr_jobs::JobMessage,
    },
}
