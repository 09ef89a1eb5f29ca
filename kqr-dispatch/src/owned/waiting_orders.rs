use std::collections::BTreeMap;

use kqr_types::InstanceId;

use super::waiting_order::WaitingOrder;
use crate::{OrderId, load_report::RANKS};

/// Place of an order in the queue: its priority and its arrival.
pub(super) type QueuePlace = (u32, u64);

/// Orders that wait for capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingOrders {
    orders: BTreeMap<QueuePlace, WaitingOrder>,
    /// Places by order, so that a cancelled order is found without a search.
    places: BTreeMap<(InstanceId, OrderId), QueuePlace>,
    /// Work by priority, in core-milliseconds.
    work: [u64; RANKS],
    last_arrival: u64,
}

impl WaitingOrders {
    /// Adds an order behind those of its priority.
    pub(super) fn push(&mut self, waiting: WaitingOrder) {
        self.last_arrival += 1;
        let place = (waiting.order.priority, self.last_arrival);
        self.work[rank_of(&waiting)] += waiting.order.work_core_ms();
        self.places
            .insert((waiting.coordinator.clone(), waiting.order.id), place);
        self.orders.insert(place, waiting);
    }

    /// Returns the places of all orders, by priority and arrival.
    pub(super) fn places(&self) -> Vec<QueuePlace> {
        self.orders.keys().copied().collect()
    }

    pub(super) fn get(&self, place: QueuePlace) -> Option<&WaitingOrder> {
        self.orders.get(&place)
    }

    /// Returns all orders with their places, by priority and arrival.
    pub(super) fn iter(&self) -> impl Iterator<Item = (QueuePlace, &WaitingOrder)> {
        self.orders.iter().map(|(place, waiting)| (*place, waiting))
    }

    pub(super) fn remove(&mut self, place: QueuePlace) -> Option<WaitingOrder> {
        let waiting = self.orders.remove(&place)?;
        let work = &mut self.work[rank_of(&waiting)];
        *work = work.saturating_sub(waiting.order.work_core_ms());
        self.places
            .remove(&(waiting.coordinator.clone(), waiting.order.id));
        Some(waiting)
    }

    /// Removes the order `id` of `coordinator`. Returns whether it waited.
    pub(super) fn remove_order(&mut self, coordinator: &InstanceId, id: OrderId) -> bool {
        let place = self.places.get(&(coordinator.clone(), id)).copied();
        place.and_then(|place| self.remove(place)).is_some()
    }

    /// Removes all orders of `coordinator`.
    pub(super) fn remove_all_of(&mut self, coordinator: &InstanceId) {
        let first = (coordinator.clone(), OrderId::default());
        let own = self.places.range(first..);
        let own = own.take_while(|((by, _), _)| by == coordinator);
        let places: Vec<QueuePlace> = own.map(|(_, place)| *place).collect();
        for place in places {
            self.remove(place);
        }
    }

    /// Returns the work by priority, in core-milliseconds.
    pub(super) const fn work(&self) -> [u64; RANKS] {
        self.work
    }

    /// Returns the number of orders that were ever added.
    pub(super) const fn arrivals(&self) -> u64 {
        self.last_arrival
    }

    pub(super) fn len(&self) -> usize {
        self.orders.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }
}

fn rank_of(waiting: &WaitingOrder) -> usize {
    (waiting.order.priority as usize).min(RANKS - 1)
}
