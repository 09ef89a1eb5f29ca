use std::net::SocketAddr;

use kqr_types::{Incarnation, TargetId};
use serde::{Deserialize, Serialize};

use crate::TargetRecord;

/// Report of a target about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetReport {
    /// The target is running.
    Present {
        /// The target.
        record: TargetRecord,
        /// Sequence number of the report, which increases within an incarnation.
        sequence: u64,
        /// Whether the target is about to leave.
        is_leaving: bool,
    },
    /// The target is shutting down.
    Gone {
        /// The target.
        id: TargetId,
        /// Incarnation of the target, if the report has one.
        life: Option<Incarnation>,
    },
}

impl TargetReport {
    /// Returns the identity of the target.
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
    /// Address for later reports, which is that of the target's owner, if it is known.
    pub report_to: Option<SocketAddr>,
}
