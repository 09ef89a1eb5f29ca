//! Messages of the decision machines, carried in batches between entries.

use kqr_placement::{ShareGrant, ShareReport};
use kqr_types::{DataCentre, TargetId, TeamName};
use serde::{Deserialize, Serialize};

use crate::loans::{LoanAnswer, LoanRequest, LoanReturn};

/// One message between the machines of two entries. It may be lost, repeated or overtaken by others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum EntryMessage {
    /// A message between the instances of the cell of a data centre.
    Cell {
        /// Data centre of the cell.
        data_centre: DataCentre,
        /// Message.
        message: kqr_membership::CellMessage,
    },
    /// What a member uses of the slots that the receiver keeps.
    SlotReport(ShareReport<TargetId>),
    /// The slots that are leased to the receiver.
    SlotGrant(ShareGrant<TargetId>),
    /// What a member uses of the teams' quotas that the receiver keeps.
    QuotaReport(ShareReport<TeamName>),
    /// The parts of teams' quotas that are leased to the receiver.
    QuotaGrant(ShareGrant<TeamName>),
    /// The sender has no free slot for a waiting task and asks for one of the receiver's.
    LoanRequest(LoanRequest),
    /// The answer to a request for a slot.
    LoanAnswer(LoanAnswer),
    /// Lent slots are given back.
    LoanReturns(Vec<LoanReturn>),
    /// The numbers of the loans that the sender still uses; it renews their leases.
    LoansInUse(Vec<u64>),
    /// A message between the directories of targets.
    Directory(kqr_directory::Message),
    /// A message between the job machines of the same shard.
    Jobs {
        /// Index of the shard.
        shard: u16,
        /// Message.
        message: kqr_jobs::JobMessage,
    },
}
