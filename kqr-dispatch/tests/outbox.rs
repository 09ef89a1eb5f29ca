//! Delivery of messages to a sibling, and which of them survive the loss of the link.

use kqr_dispatch::{LoadReport, OrderId, Outbox, RunEnd, SiblingMessage};

fn end(order_id: u64) -> SiblingMessage {
    SiblingMessage::Ended {
        order_id: OrderId(order_id),
        end: RunEnd::Done,
        target: None,
    }
}

fn load(queued: u64) -> SiblingMessage {
    SiblingMessage::Load(LoadReport {
        queued: [queued; 4],
        ..LoadReport::default()
    })
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
