use std::net::SocketAddr;

use kqr_types::{DataCentre, Incarnation, ServiceName, TargetId};
use serde::{Deserialize, Serialize};

use crate::Resources;

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
    /// Returns whether `other` describes the same incarnation and differs at most in its capacity, which may change
    /// while tasks run.
    pub fn is_resized_to(&self, other: &Self) -> bool {
        let resized = Self {
            capacity: other.capacity,
            ..self.clone()
        };
        resized == *other
    }

    /// Returns whether the target has `label`.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own_label| own_label == label)
    }
}
