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
