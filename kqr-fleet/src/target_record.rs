use std::net::SocketAddr;

use kqr_types::{DataCentre, Incarnation, ServiceName, TargetId};
use serde::{Deserialize, Serialize};

use crate::Resources;

/// What is known of one life of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identity; a target may start again under the same one.
    pub id: TargetId,
    /// Life of the target.
    pub life: Incarnation,
    /// Service whose tasks it runs.
    pub service: ServiceName,
    /// Address for orders.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentre,
    /// What it has for tasks.
    pub capacity: Resources,
    /// Labels: kind, rack and others.
    pub labels: Vec<String>,
}

impl TargetRecord {
    /// Returns whether the target has `label`.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| own == label)
    }
}
