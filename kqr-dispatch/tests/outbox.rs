//! Delivery of messages to a sibling, and which of them survive the loss of the link.

use kqr_dispatch::{
    LoadChange, LoadTargets, LoadUpdate, OrderId, Outbox, QueuedWork, RunEnd, SiblingMessage, TargetLoad,
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
