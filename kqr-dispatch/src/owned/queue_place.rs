use kqr_types::Instant;

use super::waiting_order::WaitingOrder;
use crate::QueueOrder;

/// Standing of an order among those of its priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Standing {
    /// The order can't be on time any more, and its job has begun. It is served before others of its class and priority.
    Begun,
    /// The job was refused a short time before.
    Returning,
    /// Any other order.
    Usual,
}

/// Place of an order in the queue. The lowest one is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePlace {
    pub(super) is_late: bool,
    pub(super) priority: u32,
    pub(super) standing: Standing,
    /// Latest start that is on time. It is the same for all orders of a step, so that a job is served as a whole.
    pub(super) latest_start: Instant,
    pub(super) arrival: u64,
}

impl QueuePlace {
    /// Returns the place of an order that arrives.
    pub(super) fn new(waiting: &WaitingOrder, order: QueueOrder, arrival: u64) -> Self {
        let latest_start = match order {
            QueueOrder::Arrival => Instant(0),
            QueueOrder::LatestStart | QueueOrder::OnTimeFirst => waiting.latest_start(),
        };
        let standing = if waiting.order.is_returning && order != QueueOrder::Arrival {
            Standing::Returning
        } else {
            Standing::Usual
        };
        Self {
            is_late: false,
            priority: waiting.order.priority,
            standing,
            latest_start,
            arrival,
        }
    }

    /// Returns the place of the order after its latest start.
    pub(super) const fn into_late(self, waiting: &WaitingOrder) -> Self {
        let standing = if waiting.order.has_job_begun {
            Standing::Begun
        } else {
            self.standing
        };
        Self {
            is_late: true,
            standing,
            ..self
        }
    }

    /// Returns the place of a late order whose job has begun, ahead of its priority.
    pub(super) const fn into_first_of_priority(self) -> Self {
        Self {
            is_late: false,
            standing: Standing::Begun,
            ..self
        }
    }

    /// Returns a place before all orders of a priority that can be on time.
    pub(super) const fn first(priority: u32) -> Self {
        Self {
            is_late: false,
            priority,
            standing: Standing::Begun,
            latest_start: Instant(0),
            arrival: 0,
        }
    }

    /// Returns a place before all late orders of a priority.
    pub(super) const fn first_late(priority: u32) -> Self {
        Self {
            is_late: true,
            ..Self::first(priority)
        }
    }

    /// Returns a place behind all orders of the same priority that have the same standing and may be late or not, like this one.
    pub(super) const fn last_of_standing(self) -> Self {
        Self {
            latest_start: Instant(u64::MAX),
            arrival: u64::MAX,
            ..self
        }
    }
}
