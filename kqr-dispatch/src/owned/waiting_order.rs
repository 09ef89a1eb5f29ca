use std::sync::Arc;

use kqr_types::{InstanceId, Instant};

use crate::RunOrder;

/// Multiple of its run time before the end of its wait at which an order is urgent.
const URGENT_RUN_TIMES: u32 = 3;

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
    /// Returns whether the order expires within three times its run time.
    pub(super) fn is_urgent(&self, now: Instant) -> bool {
        now + self.order.estimate * URGENT_RUN_TIMES >= self.until
    }

    /// Returns the latest start with which the run is expected to end on time.
    pub(super) fn latest_start(&self) -> Instant {
        self.sent_at + self.order.start_left
    }
}
