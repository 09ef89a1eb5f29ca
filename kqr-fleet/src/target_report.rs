use std::net::SocketAddr;

use kqr_types::{Incarnation, TargetId};
use serde::{Deserialize, Serialize};

use crate::TargetRecord;

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetReport {
    /// It is there.
    Present {
        /// The target.
        record: TargetRecord,
        /// Number of the report within this life; it rises.
        sequence: u64,
        /// Whether the target is about to leave.
        is_leaving: bool,
    },
    /// It ends now.
    Gone {
        /// The target.
        id: TargetId,
        /// Its life, if it is told.
        life: Option<Incarnation>,
    },
}

impl TargetReport {
    /// Returns the target.
    pub const fn target(&self) -> &TargetId {
        match self {
            Self::Present { record, .. } => &record.id,
            Self::Gone { id, .. } => id,
        }
    }
}

/// Answer to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReceipt {
    /// Where later reports are to be sent: the owner's listener.
    pub report_to: Option<SocketAddr>,
}
