use std::collections::BTreeMap;

use kqr_fleet::Resources;
use kqr_types::ServiceName;

use crate::RunOrder;

/// Racks on which no target has room, as found in one pass over the queue. Many orders may wait for the same rack, and each
/// would compare all targets again.
#[derive(Clone, Debug, Default)]
pub(super) struct FullRacks {
    /// Least needs that did not fit.
    needs: BTreeMap<(ServiceName, String), Resources>,
}

impl FullRacks {
    /// Records that an order fits on no target of its rack. It says nothing about others if it needs more than room.
    pub(super) fn insert(&mut self, order: &RunOrder) {
        let needs_only_room = order.label.is_none()
            && order.max_per_target.is_none()
            && order.avoided_targets.is_empty()
            && !order.is_suspect();
        let Some(rack) = order.data_rack.as_ref().filter(|_| needs_only_room) else {
            return;
        };
        let key = (order.service.clone(), rack.clone());
        let least = self.needs.entry(key).or_insert(order.needs);
        if least.can_fit(&order.needs) {
            *least = order.needs;
        }
    }

    /// Returns whether an order with no greater needs did not fit on the rack of `order`.
    pub(super) fn contains(&self, order: &RunOrder) -> bool {
        let Some(rack) = &order.data_rack else {
            return false;
        };
        let least = self.needs.get(&(order.service.clone(), rack.clone()));
        least.is_some_and(|least| order.needs.can_fit(least))
    }
}
