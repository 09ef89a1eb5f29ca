//! Orders that wait for capacity, in the order in which they are served.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

use kqr_types::{InstanceId, Instant, JobKey};

use super::{
    queue_place::{QueuePlace, Standing},
    waiting_order::WaitingOrder,
};
use crate::{OrderId, QueueOrder, QueuedWork, load_report::RANKS, queued_work::QueuedKind};

/// Orders that wait for capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingOrders {
    order: QueueOrder,
    orders: BTreeMap<QueuePlace, WaitingOrder>,
    /// Places by order, so that a cancelled order is found without a search.
    places: BTreeMap<(InstanceId, OrderId), QueuePlace>,
    /// Places by job, so that the orders of a job that begins are found without a search.
    jobs: BTreeMap<JobKey, BTreeSet<QueuePlace>>,
    work: QueuedWork,
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
        let Some(places) = self.jobs.get(job).cloned() else {
            return false;
        };
        let mut has_moved = false;
        for place in places {
            let Some(waiting) = self.orders.get_mut(&place) else {
                continue;
            };
            if std::mem::replace(&mut waiting.order.has_job_begun, true) || !place.is_late {
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
        if let Some(places) = self.jobs.get_mut(job) {
            places.remove(&place);
            if places.is_empty() {
                self.jobs.remove(job);
            }
        }
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
        let job = waiting.order.run.task.job.clone();
        self.jobs.entry(job).or_default().insert(place);
        self.orders.insert(place, waiting);
    }
}

fn rank_of(place: QueuePlace) -> usize {
    (place.priority as usize).min(RANKS - 1)
}

#[cfg(test)]
mod tests {
    use std::{sync::Arc, time::Duration};

    use kqr_fleet::Resources;

    use super::*;
    use crate::{RunId, RunOrder, TaskId};

    /// Returns an order of `work` core-milliseconds that can start on time until `latest_ms`.
    fn waiting(job: &str, id: u64, priority: u32, latest_ms: u64, work: u64) -> WaitingOrder {
        let task = TaskId {
            job: job.parse().unwrap(),
            occurrence: 0,
            step: 0,
            index: id as u32,
        };
        WaitingOrder {
            rack_wait: None,
            coordinator: "entry-0".parse().unwrap(),
            spec: Arc::from(""),
            sent_at: Instant(0),
            until: Instant(1_500_000),
            order: RunOrder {
                id: OrderId(id),
                run: RunId { task, attempt: 1 },
                service: "press".parse().unwrap(),
                needs: Resources {
                    cpu_milli: 1_000,
                    memory_mib: 64,
                    accelerators: 0,
                },
                estimate: Duration::from_millis(work),
                stated_estimate: Duration::from_millis(work),
                label: None,
                data_rack: None,
                max_per_target: None,
                priority,
                time_left: Duration::from_millis(1_500),
                on_time_left: Duration::from_millis(latest_ms + work),
                start_left: Duration::from_millis(latest_ms),
                has_job_begun: false,
                is_returning: false,
                expected_wait: Duration::ZERO,
                preferred_target: None,
                avoided_targets: Vec::new(),
                failures: 0,
                target_losses: 0,
            },
        }
    }

    /// Returns the identifiers of the orders in the order in which they are served at `now_ms`.
    fn served(orders: &mut WaitingOrders, now_ms: u64) -> Vec<u64> {
        orders.move_late_orders(Instant(now_ms * 1000));
        let mut ids = Vec::new();
        for (_, waiting) in orders.iter() {
            ids.push(waiting.order.id.0);
        }
        ids
    }

    fn queue(order: QueueOrder) -> WaitingOrders {
        let mut orders = WaitingOrders::new(order);
        orders.push(waiting("a", 1, 0, 100, 10));
        orders.push(waiting("b", 2, 2, 500, 20));
        orders.push(waiting("c", 3, 0, 50, 30));
        orders.push(waiting("d", 4, 1, 200, 40));
        orders
    }

    #[test]
    fn orders_are_served_by_priority_and_arrival_if_so_configured() {
        assert_eq!(served(&mut queue(QueueOrder::Arrival), 300), [1, 3, 4, 2]);
    }

    #[test]
    fn orders_of_a_priority_are_served_by_their_latest_start() {
        assert_eq!(served(&mut queue(QueueOrder::LatestStart), 300), [3, 1, 4, 2]);
    }

    /// At a peak the orders that were late already made all others late.
    #[test]
    fn late_orders_are_served_after_those_that_can_be_on_time() {
        let mut orders = queue(QueueOrder::OnTimeFirst);
        assert_eq!(served(&mut orders, 40), [3, 1, 4, 2]);
        assert_eq!(served(&mut orders, 80), [1, 4, 2, 3]);
        assert_eq!(served(&mut orders, 300), [2, 3, 1, 4]);
        let work = orders.work();
        assert_eq!(work.on_time, [0, 0, 20, 0]);
        assert_eq!(work.late, [40, 40, 0, 0]);
        assert_eq!((work.ahead(0, false), work.ahead_of_late(0)), (0, 60));
        assert!(orders.remove_order(&"entry-0".parse().unwrap(), OrderId(3)));
        assert_eq!(orders.work().late, [10, 40, 0, 0]);
    }

    #[test]
    fn late_orders_of_jobs_that_have_begun_come_first() {
        let mut orders = queue(QueueOrder::OnTimeFirst);
        let mut begun = waiting("begun", 5, 0, 120, 10);
        begun.order.has_job_begun = true;
        orders.push(begun);
        assert_eq!(served(&mut orders, 110), [5, 4, 2, 3, 1]);
        assert_eq!(served(&mut orders, 150), [4, 2, 5, 3, 1]);
        assert!(orders.move_begun_orders());
        assert_eq!(served(&mut orders, 150), [5, 4, 2, 3, 1]);
        assert!(!orders.move_begun_orders());
    }

    /// Jobs of which some tasks had run were given up, because their other tasks waited behind those of later jobs.
    #[test]
    fn late_orders_move_ahead_when_their_job_begins() {
        let mut orders = queue(QueueOrder::OnTimeFirst);
        orders.push(waiting("d", 6, 1, 210, 10));
        assert_eq!(served(&mut orders, 300), [2, 3, 1, 4, 6]);
        assert!(orders.mark_begun(&"entry-0".parse().unwrap(), OrderId(1)));
        assert!(orders.mark_job_begun(&"d".parse().unwrap()));
        assert!(!orders.mark_job_begun(&"d".parse().unwrap()));
        assert_eq!(served(&mut orders, 300), [2, 1, 3, 4, 6]);
        assert_eq!(orders.work().late, [40, 50, 0, 0]);
        assert!(!orders.mark_job_begun(&"b".parse().unwrap()));
        assert_eq!(served(&mut orders, 600), [1, 3, 4, 6, 2]);
    }

    /// A caller that had been refused was queued behind new ones again and again.
    #[test]
    fn orders_of_returning_callers_come_first_in_their_class() {
        let mut orders = queue(QueueOrder::OnTimeFirst);
        let mut returning = waiting("returning", 5, 0, 120, 10);
        returning.order.is_returning = true;
        orders.push(returning);
        assert_eq!(served(&mut orders, 40), [5, 3, 1, 4, 2]);
        assert_eq!(served(&mut orders, 80), [5, 1, 4, 2, 3]);
        assert_eq!(served(&mut orders, 600), [5, 3, 1, 4, 2]);
    }

    /// Tasks of several jobs took turns, so that all jobs ended late in place of some.
    #[test]
    fn tasks_of_one_job_are_served_together() {
        let mut orders = WaitingOrders::new(QueueOrder::OnTimeFirst);
        for (id, job, latest_ms) in [(1, "a", 90), (2, "b", 91), (3, "a", 90), (4, "b", 91)] {
            orders.push(waiting(job, id, 0, latest_ms, 10));
        }
        assert_eq!(served(&mut orders, 0), [1, 3, 2, 4]);
        assert_eq!(served(&mut orders, 200), [1, 3, 2, 4]);
    }
}
