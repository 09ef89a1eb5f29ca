use std::net::SocketAddr;

use kqr_types::{Incarnation, TargetId};
use serde::{Deserialize, Serialize};

use crate::{RecordError, TargetRecord, target_record::MAX_COUNTER};

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
    /// Checks that no field is beyond all targets that exist. A report that fails names no target to use.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of range.
    pub fn check(&self) -> Result<(), RecordError> {
        match self {
            Self::Present { sequence, .. } if *sequence > MAX_COUNTER => Err(RecordError::Counter),
            Self::Present { record, .. } => record.check(),
            Self::Gone { life, .. } if life.is_some_and(|life| life.0 > MAX_COUNTER) => {
                Err(RecordError::Counter)
            }
            Self::Gone { .. } => Ok(()),
        }
    }

    /// Returns whether the target reports that it is about to leave.
    pub const fn is_leaving(&self) -> bool {
        matches!(self, Self::Present { is_leaving: true, .. })
    }

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
