use kqr_types::{InstanceId, Instant};

use crate::RunOrder;

/// An order that waits for room.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct WaitingOrder {
    pub(super) coordinator: InstanceId,
    pub(super) order: RunOrder,
    pub(super) arrived: Instant,
    /// When a start no longer makes sense.
    pub(super) until: Instant,
}
