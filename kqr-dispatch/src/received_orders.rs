use crate::OrderId;

/// Highest identifiers of the orders received from a coordinator, and of those dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReceivedOrders {
    pub(crate) highest: OrderId,
    pub(crate) dropped: OrderId,
}
