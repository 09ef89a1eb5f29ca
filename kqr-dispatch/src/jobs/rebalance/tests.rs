use super::*;

fn order(waited_ms: u64, queue_ms: u64) -> QueuedOrder {
    QueuedOrder {
        waited: Duration::from_millis(waited_ms),
        on_time_left: Duration::from_millis(80),
        estimate: Duration::from_millis(51),
        queue_wait: Duration::from_millis(queue_ms),
        slowness: 1.0,
        moves: 0,
    }
}

const fn place(is_near: bool, slowness: f32) -> FreePlace {
    FreePlace { is_near, slowness }
}

#[test]
fn an_order_stays_until_its_start_could_have_been_reported() {
    assert!(!does_move_pay(&order(9, 500), place(true, 1.0)));
    assert!(does_move_pay(&order(10, 500), place(true, 1.0)));
}

/// Targets of speed 0.7 ended runs late that would have been on time after a short wait for one of speed 1.7.
#[test]
fn a_slow_target_is_taken_only_if_the_run_ends_earlier_or_on_time_there() {
    let late = QueuedOrder {
        on_time_left: Duration::from_millis(40),
        slowness: 0.6,
        ..order(10, 10)
    };
    assert!(!does_move_pay(&late, place(true, 1.4)));
    assert!(does_move_pay(&order(10, 10), place(true, 1.4)), "on time there");
    assert!(does_move_pay(&late, place(true, 0.6)), "earlier there");
    let waiting = QueuedOrder {
        queue_wait: Duration::from_millis(80),
        ..late
    };
    assert!(does_move_pay(&waiting, place(true, 1.4)), "earlier there");
}

#[test]
fn another_data_centre_takes_a_longer_wait_and_a_gain_above_the_cost_of_the_link() {
    assert!(!does_move_pay(&order(59, 500), place(false, 1.0)));
    assert!(does_move_pay(&order(60, 500), place(false, 1.0)));
    let slow = order(60, 60);
    assert!(
        !does_move_pay(&slow, place(false, 1.5)),
        "60 ms of waiting for 25 ms more of running and 8 ms of link"
    );
    assert!(does_move_pay(&slow, place(true, 1.5)));
}

/// Each move may end in another queue, so without a bound an order could be moved until it expires.
#[test]
fn a_task_is_moved_a_bounded_number_of_times() {
    let moved = QueuedOrder {
        moves: MAX_MOVES,
        ..order(100, 500)
    };
    assert!(!does_move_pay(&moved, place(true, 1.0)));
    assert!(!does_move_pay(&moved, place(false, 1.0)));
}
