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
    /// How long the order waits for a target on the rack of its data, if it does.
    pub(super) rack_wait: Option<RackWait>,
}

impl WaitingOrder {
    /// Returns whether the order takes only targets on the rack of its data at `now`.
    pub(super) fn is_bound_to_rack(&self, now: Instant) -> bool {
        self.rack_wait.is_some_and(|wait| now < wait.until)
    }
}

/// Time in which an order takes only targets on the rack of its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RackWait {
    pub(super) since: Instant,
    pub(super) until: Instant,
}
