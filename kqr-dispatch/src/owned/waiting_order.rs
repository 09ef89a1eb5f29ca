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
        self.rack_wait_end(now).is_some()
    }

    /// Returns when the order takes any target, if it takes only those on the rack of its data at `now`.
    pub(super) fn rack_wait_end(&self, now: Instant) -> Option<Instant> {
        let until = self.rack_wait.map(|wait| wait.until);
        until.filter(|until| now < *until)
    }
}

/// Time in which an order takes only targets on the rack of its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RackWait {
    pub(super) since: Instant,
    pub(super) until: Instant,
}

impl WaitingOrder {
    /// Returns the latest start with which the run is expected to end on time.
    pub(super) fn latest_start(&self) -> Instant {
        self.sent_at + self.order.start_left
    }
}
