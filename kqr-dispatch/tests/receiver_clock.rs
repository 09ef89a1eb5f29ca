//! The lower bound of a receiver's clock, and sessions that judge messages by when they were sent.

use std::time::Duration;

use kqr_dispatch::{Delivery, ReceiverClock, ReceiverTime, Sessions, SiblingMessage};
use kqr_types::{InstanceId, Instant};
use quickcheck::quickcheck;

const TIMEOUT: Duration = Duration::from_millis(400);

fn sender() -> InstanceId {
    "entry-0".parse().unwrap()
}

const fn millis(millis: u64) -> Instant {
    Instant(millis * 1000)
}

fn delivery(session: u64, first: u64, sent_at: Instant) -> Delivery {
    Delivery {
        session,
        first,
        sent_at: ReceiverTime(sent_at),
        messages: vec![SiblingMessage::LoadRequest],
    }
}

quickcheck! {
    /// Answers take any time on their way, and the sender's clock may run faster by up to two hundredths.
    fn the_bound_is_never_ahead_of_the_receiver(exchanges: Vec<(u16, u16, bool)>) -> bool {
        let mut clock = ReceiverClock::default();
        let (mut receiver, mut sender) = (1_000_000_u64, 9_000_000_u64);
        for (pause, latency, is_fast) in exchanges {
            for (micros, is_answer) in [(u64::from(pause) * 100, false), (u64::from(latency) * 10, true)] {
                let reading = receiver;
                receiver += micros;
                sender += if is_fast { micros * 51 / 50 } else { micros };
                if is_answer {
                    clock.record(Instant(sender), ReceiverTime(Instant(reading)));
                }
                if clock.at(Instant(sender)).0.0 > receiver {
                    return false;
                }
            }
        }
        true
    }
}

#[test]
fn an_answer_that_was_late_does_not_lower_the_bound() {
    let mut clock = ReceiverClock::default();
    assert_eq!(clock.at(millis(500)), ReceiverTime::default());
    clock.record(millis(100), ReceiverTime(millis(7_000)));
    // The answer was on its way for 200 ms.
    clock.record(millis(350), ReceiverTime(millis(7_050)));
    assert!(clock.at(millis(350)).0 >= millis(7_240));
}

#[test]
fn a_session_expires_by_the_time_at_which_its_messages_were_sent() {
    let mut sessions = Sessions::default();
    let (session, _) = sessions.open(millis(1_000), &sender());
    let on_time = delivery(session, 0, millis(1_100));
    assert_eq!(
        sessions.accept(millis(1_390), &sender(), &on_time, TIMEOUT),
        Some(0)
    );
    // 200 ms after the last message arrived, and 490 ms after it was sent.
    let late = delivery(session, 1, millis(1_300));
    assert_eq!(sessions.accept(millis(1_590), &sender(), &late, TIMEOUT), None);
}

#[test]
fn a_message_from_the_future_counts_from_now() {
    let mut sessions = Sessions::default();
    let (session, _) = sessions.open(millis(1_000), &sender());
    let early = delivery(session, 0, millis(90_000));
    assert_eq!(
        sessions.accept(millis(1_100), &sender(), &early, TIMEOUT),
        Some(0)
    );
    let next = delivery(session, 1, millis(90_000));
    assert_eq!(sessions.accept(millis(1_600), &sender(), &next, TIMEOUT), None);
}
