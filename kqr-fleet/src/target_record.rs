use std::net::SocketAddr;

use kqr_types::{DataCentre, Incarnation, ServiceName, TargetId};
use serde::{Deserialize, Serialize};

use crate::{RecordError, Resources};

/// Largest capacity of a target, far above that of existing machines. The sums over a fleet of such targets fit in 64
/// bits.
const MAX_CAPACITY: Resources = Resources {
    cpu_milli: 100_000_000,
    memory_mib: 1 << 30,
    accelerators: 100_000,
};
/// Largest number of labels of a target. Each load of all targets carries them.
const MAX_LABELS: usize = 32;
/// Largest counter that a target may report: the largest integer that all JSON writers can represent.
pub(crate) const MAX_COUNTER: u64 = (1 << 53) - 1;

/// Description of one incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identity. A target keeps it when it restarts.
    pub id: TargetId,
    /// Incarnation of the target.
    pub life: Incarnation,
    /// Service whose tasks it runs.
    pub service: ServiceName,
    /// Address to which orders are sent.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Resources that it provides to tasks.
    pub capacity: Resources,
    /// Labels such as kind and rack.
    pub labels: Vec<String>,
}

impl TargetRecord {
    /// Largest size of a label, in bytes.
    pub const MAX_LABEL_BYTES: usize = 128;

    /// Returns whether `other` describes the same incarnation and differs at most in its capacity, which may change
    /// while tasks run.
    pub fn is_resized_to(&self, other: &Self) -> bool {
        let resized = Self {
            capacity: other.capacity,
            ..self.clone()
        };
        resized == *other
    }

    /// Checks that no field is beyond all targets that exist.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of range.
    pub fn check(&self) -> Result<(), RecordError> {
        if !MAX_CAPACITY.can_fit(&self.capacity) {
            return Err(RecordError::Capacity);
        }
        let is_short = |label: &String| label.len() <= Self::MAX_LABEL_BYTES;
        if self.labels.len() > MAX_LABELS || !self.labels.iter().all(is_short) {
            return Err(RecordError::Labels);
        }
        if self.address.port() == 0 {
            return Err(RecordError::Address);
        }
        if self.life.0 > MAX_COUNTER {
            return Err(RecordError::Counter);
        }
        Ok(())
    }

    /// Returns whether the target has `label`.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own_label| own_label == label)
    }
}
