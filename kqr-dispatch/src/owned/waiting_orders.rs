//! Orders that wait for capacity, in the order in which they are served.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    time::Duration,
};

use kqr_fleet::Resources;
use kqr_types::{InstanceId, Instant, JobKey};

use super::{
    queue_place::{QueuePlace, Standing},
    runs::distinct_coordinators,
    waiting_order::WaitingOrder,
};
use crate::{OrderId, QueueOrder, QueuedWork, RunOrder, load_report::RANKS, queued_work::QueuedKind};

/// Orders that wait for capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingOrders {
    order: QueueOrder,
    orders: BTreeMap<QueuePlace, WaitingOrder>,
    /// Places by order, so that a cancelled order is found without a search.
    places: BTreeMap<(InstanceId, OrderId), QueuePlace>,
    /// Places by job of the orders whose job is not known to have begun, so that they are found without a search when it
    /// does, and each of them once.
    unbegun: BTreeMap<JobKey, BTreeSet<QueuePlace>>,
    work: QueuedWork,
    /// Estimated run times by rack of the data and priority, with the number of orders.
    rack_run_times: BTreeMap<String, BTreeMap<u32, (usize, Duration)>>,
    /// Numbers of orders by the processors and by the memory that they need.
    cpu_needs: BTreeMap<u64, usize>,
    memory_needs: BTreeMap<u64, usize>,
    last_arrival: u64,
}

impl WaitingOrders {
    pub(super) fn new(order: QueueOrder) -> Self {
        Self {
            order,
            ..Self::default()
        }
    }

    /// Adds an order that arrives.
    pub(super) fn push(&mut self, waiting: WaitingOrder) {
        self.last_arrival += 1;
        let place = QueuePlace::new(&waiting, self.order, self.last_arrival);
        self.insert(place, waiting);
    }

    /// Moves the orders whose latest start has passed behind those that can still be on time. Each order is moved at
    /// most once, and no other order is examined but the first of each priority.
    pub(super) fn move_late_orders(&mut self, now: Instant) {
        if self.order != QueueOrder::OnTimeFirst {
            return;
        }
        let mut from = Bound::Included(QueuePlace::first(0));
        while let Some((&place, _)) = self
            .orders
            .range((from, Bound::Excluded(QueuePlace::first_late(0))))
            .next()
        {
            if place.latest_start >= now || place.standing == Standing::Begun {
                from = Bound::Excluded(place.last_of_standing());
                continue;
            }
            if let Some(waiting) = self.remove(place) {
                self.insert(place.into_late(&waiting), waiting);
            }
        }
    }

    /// Moves late orders of jobs that have begun ahead of their priority: the runs of a job that is given up are lost, and its
    /// caller submits it again. Returns whether orders have moved.
    pub(super) fn move_begun_orders(&mut self) -> bool {
        let mut has_moved = false;
        let mut from = Bound::Included(QueuePlace::first_late(0));
        while let Some((&place, _)) = self.orders.range((from, Bound::Unbounded)).next() {
            if place.standing != Standing::Begun {
                from = Bound::Excluded(place.last_of_standing());
                continue;
            }
            if let Some(waiting) = self.remove(place) {
                self.insert(place.into_first_of_priority(), waiting);
                has_moved = true;
            }
        }
        has_moved
    }

    /// Records that the job of an order has begun. Returns whether orders have moved.
    pub(super) fn mark_begun(&mut self, coordinator: &InstanceId, id: OrderId) -> bool {
        let place = self.places.get(&(coordinator.clone(), id));
        let waiting = place.and_then(|place| self.orders.get(place));
        let job = waiting.map(|waiting| waiting.order.run.task.job.clone());
        job.is_some_and(|job| self.mark_job_begun(&job))
    }

    /// Records that a job has begun. Its late orders move ahead of those of jobs that have not. Returns whether orders have
    /// moved.
    pub(super) fn mark_job_begun(&mut self, job: &JobKey) -> bool {
        let Some(places) = self.unbegun.remove(job) else {
            return false;
        };
        let mut has_moved = false;
        for place in places {
            let Some(waiting) = self.orders.get_mut(&place) else {
                continue;
            };
            waiting.order.has_job_begun = true;
            if !place.is_late {
                continue;
            }
            if let Some(waiting) = self.remove(place) {
                self.insert(place.into_late(&waiting), waiting);
                has_moved = true;
            }
        }
        has_moved
    }

    /// Returns the order that is served next after `place`, or the first one.
    pub(super) fn next_after(&self, place: Option<QueuePlace>) -> Option<(QueuePlace, &WaitingOrder)> {
        let from = place.map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.orders.range((from, Bound::Unbounded)).next();
        next.map(|(place, waiting)| (*place, waiting))
    }

    /// Returns all orders with their places, in the order in which they are served.
    pub(super) fn iter(&self) -> impl Iterator<Item = (QueuePlace, &WaitingOrder)> {
        self.orders.iter().map(|(place, waiting)| (*place, waiting))
    }

    pub(super) fn remove(&mut self, place: QueuePlace) -> Option<WaitingOrder> {
        let waiting = self.orders.remove(&place)?;
        let work = waiting.order.work_core_ms();
        let kind = QueuedKind::of(&waiting.order, place.is_late);
        self.work.remove(kind, rank_of(place), work);
        self.places
            .remove(&(waiting.coordinator.clone(), waiting.order.id));
        let job = &waiting.order.run.task.job;
        if !waiting.order.has_job_begun
            && let Some(places) = self.unbegun.get_mut(job)
        {
            places.remove(&place);
            if places.is_empty() {
                self.unbegun.remove(job);
            }
        }
        self.remove_run_time(&waiting.order);
        decrement(&mut self.cpu_needs, waiting.order.needs.cpu_milli);
        decrement(&mut self.memory_needs, waiting.order.needs.memory_mib);
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

    /// Returns the estimated run time of the orders of at least `priority` whose data is on `rack`.
    pub(super) fn run_time_for_rack(&self, rack: &str, priority: u32) -> Duration {
        let priorities = self.rack_run_times.get(rack);
        let ahead = priorities.map(|priorities| priorities.range(..=priority));
        let run_times = ahead.into_iter().flatten().map(|(_, (_, total))| *total);
        run_times.fold(Duration::ZERO, Duration::saturating_add)
    }

    /// Returns whether an order may fit where `room` is free. Without room none does.
    pub(super) fn may_fit(&self, room: Option<Resources>) -> bool {
        let fits = |needs: &BTreeMap<u64, usize>, free| {
            let least = needs.first_key_value();
            least.is_some_and(|(least, _)| *least <= free)
        };
        room.is_some_and(|room| {
            fits(&self.cpu_needs, room.cpu_milli) && fits(&self.memory_needs, room.memory_mib)
        })
    }

    /// Returns the coordinators of the orders.
    pub(super) fn coordinators(&self) -> impl Iterator<Item = &InstanceId> {
        distinct_coordinators(&self.places)
    }

    /// Returns the work of the orders.
    pub(super) const fn work(&self) -> QueuedWork {
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

    fn insert(&mut self, place: QueuePlace, waiting: WaitingOrder) {
        let work = waiting.order.work_core_ms();
        let kind = QueuedKind::of(&waiting.order, place.is_late);
        self.work.add(kind, rank_of(place), work);
        self.places
            .insert((waiting.coordinator.clone(), waiting.order.id), place);
        if !waiting.order.has_job_begun {
            let job = waiting.order.run.task.job.clone();
            self.unbegun.entry(job).or_default().insert(place);
        }
        if let Some(rack) = &waiting.order.data_rack {
            let racks = self.rack_run_times.entry(rack.clone()).or_default();
            let (count, total) = racks.entry(waiting.order.priority).or_default();
            *count += 1;
            *total = total.saturating_add(waiting.order.estimate);
        }
        let needs = waiting.order.needs;
        *self.cpu_needs.entry(needs.cpu_milli).or_default() += 1;
        *self.memory_needs.entry(needs.memory_mib).or_default() += 1;
        self.orders.insert(place, waiting);
    }

    fn remove_run_time(&mut self, order: &RunOrder) {
        let Some(rack) = &order.data_rack else { return };
        let Some(priorities) = self.rack_run_times.get_mut(rack) else {
            return;
        };
        if let Some((count, total)) = priorities.get_mut(&order.priority) {
            *count -= 1;
            *total = total.saturating_sub(order.estimate);
            if *count == 0 {
                priorities.remove(&order.priority);
            }
        }
        if priorities.is_empty() {
            self.rack_run_times.remove(rack);
        }
    }
}

/// Removes one order from the number of those with `need`.
fn decrement(counts: &mut BTreeMap<u64, usize>, need: u64) {
    if let Some(count) = counts.get_mut(&need) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&need);
        }
    }
}

fn rank_of(place: QueuePlace) -> usize {
    (place.priority as usize).min(RANKS - 1)
}

#[cfg(test)]
mod tests;
