use std::sync::Arc;

use kqr_types::{InstanceId, Instant};

use crate::RunOrder;

/// An order that waits for a target with free capacity.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct WaitingOrder {
    pub(super) coordinator: InstanceId,
    /// Payload passed to the task.
    pub(super) spec: Arc<str>,
    pub(super) order: RunOrder,
    /// When its coordinator sent the order.
    pub(super) sent_at: Instant,
    /// When the order expires.
    pub(super) until: Instant,
}

impl WaitingOrder {
    /// Returns the latest start with which the run is expected to end on time.
    pub(super) fn latest_start(&self) -> Instant {
        self.sent_at + self.order.start_left
    }
}
