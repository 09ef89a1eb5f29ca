use crate::{OrderId, RunOrder};

/// Orders received from a coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReceivedOrders {
    /// Last received order.
    last: OrderId,
    /// Last order that was dropped without an end.
    dropped: OrderId,
}

impl ReceivedOrders {
    /// Records received orders. Within an incarnation of the coordinator their identifiers increase, so a lower
    /// one is of a new incarnation, whose clock was set back.
    pub(crate) fn record(&mut self, orders: &[RunOrder]) {
        for order in orders {
            if order.id < self.last {
                self.dropped = OrderId::default();
            }
            self.last = order.id;
        }
    }

    /// Records that all orders received so far were dropped.
    pub(crate) const fn drop_all(&mut self) {
        self.dropped = self.last;
    }

    /// Returns the last received order.
    pub(crate) const fn last(&self) -> OrderId {
        self.last
    }

    /// Returns the last dropped order.
    pub(crate) const fn last_dropped(&self) -> OrderId {
        self.dropped
    }
}
