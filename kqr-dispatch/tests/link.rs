//! The model of a link: its queue, its utilisation, and what it allows.

use std::time::Duration;

use kqr_dispatch::{Link, LinkRate, Traffic};
use kqr_types::Instant;

fn at(millis: u64) -> Instant {
    Instant(millis * 1000)
}

fn two_mbit() -> Link {
    Link::new(LinkRate::from_mbit(2.0))
}

/// A rate that is absent, no number, or far above what an entry sends must leave everything as it is.
#[test]
fn links_without_a_usable_rate_never_wait() {
    for mbit in [-1.0, 0.0, f64::NAN, f64::INFINITY, 500.0, 1000.0] {
        assert_eq!(LinkRate::from_mbit(mbit), None, "{mbit}");
    }
    let mut link = Link::new(None);
    link.send(at(1), Traffic::Starts, 1_000_000);
    assert_eq!(link.expected_wait(), Duration::ZERO);
    assert_eq!(link.bulk_time(1_000_000), Duration::ZERO);
    assert!(link.pressure() <= 0.0);
}

/// A wait that ignored the queue let starts time out that were still on their way.
#[test]
fn wait_follows_from_the_queue_and_the_rate() {
    let mut link = two_mbit();
    let rate = LinkRate::from_mbit(2.0).unwrap().bytes_per_ms();
    link.send(at(10), Traffic::Orders, (rate * 60.0) as u64);
    assert_eq!(link.expected_wait().as_millis(), 60);
    assert_eq!(link.timeout_extension(), Duration::from_millis(60));
    link.advance(at(50));
    assert_eq!(link.timeout_extension(), Duration::from_millis(20));
    link.advance(at(80));
    assert_eq!(link.timeout_extension(), Duration::ZERO);
}

/// Control traffic is sent ahead of bulk, so it must leave the modelled queue first.
#[test]
fn control_traffic_leaves_the_queue_before_bulk() {
    let mut link = two_mbit();
    link.send(at(10), Traffic::Starts, 4_000);
    link.send(at(10), Traffic::Polls, 1_000);
    link.advance(at(15));
    let (control, bulk) = link.queued_bytes();
    assert_eq!((control, bulk), (0, 3_937));
}

/// A timeout without a bound would delay the detection of a lost target beyond the leases of its runs.
#[test]
fn extension_of_timeouts_is_bounded() {
    let mut link = two_mbit();
    link.send(at(10), Traffic::Orders, 10_000_000);
    assert_eq!(link.timeout_extension(), Duration::from_millis(100));
}

/// Polls and loads filled the link although it was busy, and orders did not pass.
#[test]
fn control_traffic_gets_rarer_as_the_utilisation_rises() {
    let mut link = two_mbit();
    let (usual, longest) = (Duration::from_millis(150), Duration::from_millis(250));
    assert_eq!(link.stretch(usual, longest), usual);
    for millis in 0..1_000 {
        link.send(at(millis), Traffic::Starts, 150);
    }
    let busy = link.stretch(usual, longest);
    assert!(usual < busy && busy < longest, "{busy:?}");
    for millis in 1_000..2_000 {
        link.send(at(millis), Traffic::Starts, 220);
    }
    assert_eq!(link.stretch(usual, longest), longest);
}

/// Control traffic alone must not take more than its share before it gets rarer.
#[test]
fn pressure_is_highest_when_control_traffic_exceeds_its_share() {
    let mut link = two_mbit();
    for millis in 0..1_000 {
        link.send(at(millis), Traffic::Loads, 90);
    }
    assert!(link.utilisation() < 0.5);
    assert!(link.pressure() >= 1.0);
}

/// Jobs were admitted whose messages could not pass beside the heartbeats.
#[test]
fn forecast_for_bulk_leaves_the_rate_that_control_traffic_takes() {
    let idle = two_mbit().bulk_time(10_000);
    let mut link = two_mbit();
    for millis in 0..1_000 {
        link.send(at(millis), Traffic::Loads, 106);
    }
    let busy = link.bulk_time(10_000);
    assert!(busy > idle * 18 / 10, "{busy:?} after {idle:?}");
}
