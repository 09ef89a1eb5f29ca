//! Delivery of messages to a sibling, and which of them survive the loss of the link.

use std::{sync::Arc, time::Duration};

use kqr_dispatch::{
    LoadChange, LoadTargets, LoadUpdate, OrderId, Outbox, QueuedWork, RunEnd, RunId, RunOrder,
    SiblingMessage, TargetLoad, TaskId,
};
use kqr_fleet::Resources;

fn end(order_id: u64) -> SiblingMessage {
    SiblingMessage::Ended {
        order_id: OrderId(order_id),
        end: RunEnd::Done,
        target: None,
        run_time: None,
    }
}

fn load(queued: u64) -> SiblingMessage {
    update(queued, LoadTargets::All(Vec::new()))
}

fn update(number: u64, targets: LoadTargets) -> SiblingMessage {
    SiblingMessage::Load(LoadUpdate {
        number,
        targets,
        queued: QueuedWork {
            on_time: [number; 4],
            ..QueuedWork::default()
        },
        is_leaving: false,
        last_order: OrderId(number),
    })
}

fn cores(cpu_milli: u64) -> Resources {
    Resources {
        cpu_milli,
        ..Resources::default()
    }
}

fn target(number: usize, free: u64) -> TargetLoad {
    TargetLoad {
        id: format!("target-{number}").parse().unwrap(),
        service: "press".parse().unwrap(),
        labels: Vec::new(),
        capacity: cores(16_000),
        free: cores(free),
        slowness: 1.0,
        is_open: true,
    }
}

fn change(position: u32, free: u64) -> LoadChange {
    LoadChange {
        position,
        free: cores(free),
        slowness: 1.0,
        is_open: true,
    }
}

fn changed(since: u64, changes: Vec<LoadChange>) -> LoadTargets {
    LoadTargets::Changed { since, changes }
}

#[test]
fn only_ends_of_orders_survive_a_lost_link() {
    let mut outbox = Outbox::default();
    outbox.push(end(1));
    outbox.push(SiblingMessage::Cancel(vec![OrderId(7)]));
    outbox.push(load(1));
    outbox.push(end(2));
    assert_eq!(outbox.next_batch(2).len(), 2);
    outbox.handle_link_loss();
    assert_eq!(outbox.next_batch(9), [end(1), end(2)]);
}

/// The session of two siblings that exchange no loads has expired when a target goes down, and its loss resets the link.
/// Without the count of losses a task crashes further targets.
#[test]
fn losses_of_targets_survive_a_lost_link() {
    let mut outbox = Outbox::default();
    let lost = SiblingMessage::TargetsLost(Vec::new());
    outbox.push(lost.clone());
    outbox.push(SiblingMessage::Cancel(vec![OrderId(7)]));
    outbox.next_batch(9);
    outbox.handle_link_loss();
    assert_eq!(outbox.next_batch(9), [lost]);
}

#[test]
fn an_acknowledged_batch_is_not_delivered_again() {
    let mut outbox = Outbox::default();
    for order_id in 1..=3 {
        outbox.push(end(order_id));
    }
    assert_eq!(outbox.next_batch(2), [end(1), end(2)]);
    outbox.acknowledge_batch();
    assert_eq!(outbox.next_batch(2), [end(3)]);
}

#[test]
fn consecutive_loads_are_coalesced_unless_in_flight() {
    let mut outbox = Outbox::default();
    outbox.push(load(1));
    outbox.push(load(2));
    assert_eq!(outbox.next_batch(9), [load(2)]);
    outbox.push(load(3));
    outbox.acknowledge_batch();
    assert_eq!(outbox.next_batch(9), [load(3)]);
}

#[test]
fn a_change_is_merged_into_a_waiting_list_of_all_targets() {
    let mut outbox = Outbox::default();
    let all = vec![target(0, 16_000), target(1, 16_000)];
    outbox.push(update(1, LoadTargets::All(all)));
    outbox.push(update(2, changed(1, vec![change(1, 9_000)])));
    let merged = vec![target(0, 16_000), target(1, 9_000)];
    assert_eq!(outbox.next_batch(9), [update(2, LoadTargets::All(merged))]);
}

#[test]
fn waiting_changes_are_merged() {
    let mut outbox = Outbox::default();
    outbox.push(update(2, changed(1, vec![change(0, 1_000), change(1, 2_000)])));
    outbox.push(update(3, changed(2, vec![change(1, 5_000), change(2, 6_000)])));
    let merged = vec![change(0, 1_000), change(1, 5_000), change(2, 6_000)];
    assert_eq!(outbox.next_batch(9), [update(3, changed(1, merged))]);
}

#[test]
fn a_batch_in_flight_when_the_link_is_lost_is_not_acknowledged() {
    let mut outbox = Outbox::default();
    outbox.push(end(1));
    assert_eq!(outbox.next_batch(9).len(), 1);
    let losses = outbox.losses();
    outbox.handle_link_loss();
    assert_ne!(outbox.losses(), losses);
    outbox.push(end(2));
    outbox.acknowledge_batch();
    assert_eq!(outbox.next_batch(9), [end(1), end(2)]);
}

fn orders(order_id: u64) -> SiblingMessage {
    let order = RunOrder {
        id: OrderId(order_id),
        run: RunId {
            task: TaskId {
                job: "job".parse().unwrap(),
                occurrence: 0,
                step: 0,
                index: 0,
            },
            attempt: 1,
        },
        service: "press".parse().unwrap(),
        needs: Resources::default(),
        estimate: Duration::ZERO,
        stated_estimate: Duration::ZERO,
        label: None,
        data_rack: None,
        max_per_target: None,
        priority: 0,
        time_left: Duration::from_secs(1),
        on_time_left: Duration::from_secs(1),
        start_left: Duration::from_secs(1),
        has_job_begun: false,
        is_returning: false,
        expected_wait: Duration::ZERO,
        preferred_target: None,
        avoided_targets: Vec::new(),
        failures: 0,
        target_losses: 0,
    };
    SiblingMessage::Run {
        spec: Arc::from("payload"),
        orders: vec![order],
    }
}

fn cancellation(order_id: u64) -> SiblingMessage {
    SiblingMessage::Cancel(vec![OrderId(order_id)])
}

/// Heartbeats behind orders with large payloads arrived after the sibling had counted this entry as lost.
#[test]
fn control_messages_overtake_waiting_orders_on_links_with_a_rate() {
    let mut outbox = Outbox::with_priorities();
    for message in [orders(1), end(7), orders(2), load(1), load(2), end(8)] {
        outbox.push(message);
    }
    let batch = outbox.next_batch(10);
    assert_eq!(batch, [end(7), load(2), end(8), orders(1), orders(2)]);
}

/// A cancellation that arrives before its order would leave the order in force.
#[test]
fn cancellations_do_not_overtake_their_orders() {
    let mut outbox = Outbox::with_priorities();
    for message in [
        orders(1),
        orders(2),
        cancellation(1),
        end(7),
        orders(3),
        cancellation(2),
    ] {
        outbox.push(message);
    }
    let batch = outbox.next_batch(10);
    let expected = [
        orders(1),
        cancellation(1),
        end(7),
        orders(2),
        cancellation(2),
        orders(3),
    ];
    assert_eq!(batch, expected);
}

/// The messages of a batch in flight have numbers; one that is inserted among them would be lost or repeated.
#[test]
fn control_messages_do_not_enter_the_batch_in_flight() {
    let mut outbox = Outbox::with_priorities();
    outbox.push(orders(1));
    outbox.push(orders(2));
    assert_eq!(outbox.next_batch(1), [orders(1)]);
    outbox.push(load(1));
    outbox.acknowledge_batch();
    assert_eq!(outbox.next_batch(10), [load(1), orders(2)]);
}

/// Without a rate of the link nothing changes.
#[test]
fn messages_keep_their_order_on_links_without_a_rate() {
    let mut outbox = Outbox::default();
    for message in [orders(1), end(7), cancellation(1)] {
        outbox.push(message);
    }
    assert_eq!(outbox.next_batch(10), [orders(1), end(7), cancellation(1)]);
}

/// Guards against batches that exceed the size of a frame, which would fail however often they are sent again.
#[test]
fn a_batch_of_large_messages_fits_in_one_call() {
    let mut outbox = Outbox::default();
    let cancelled = |first: u64| SiblingMessage::Cancel((first..first + 100_000).map(OrderId).collect());
    for number in 0..30 {
        outbox.push(cancelled(number));
    }
    let batch = outbox.next_batch(256);
    let bytes: u64 = batch.iter().map(SiblingMessage::link_bytes).sum();
    assert!(
        batch.len() > 1 && bytes <= 4 << 20,
        "{} messages, {bytes} bytes",
        batch.len()
    );
    let larger = (0..1_000_000).map(OrderId).collect();
    let mut outbox = Outbox::default();
    outbox.push(SiblingMessage::Cancel(larger));
    assert_eq!(outbox.next_batch(256).len(), 1);
}
