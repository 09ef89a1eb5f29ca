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
    /// Records received orders.
    pub(crate) fn record(&mut self, orders: &[RunOrder]) {
        for order in orders {
            self.last = self.last.max(order.id);
        }
    }

    /// Records that all orders received so far were dropped.
    pub(crate) const fn drop_all(&mut self) {
        self.dropped = self.last;
    }

    /// Returns the last dropped order.
    pub(crate) const fn last_dropped(&self) -> OrderId {
        self.dropped
    }
}
