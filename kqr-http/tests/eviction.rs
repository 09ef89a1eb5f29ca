//! Which connection is given up when a share is used up.

use std::time::{Duration, Instant};

use kqr_http::{Candidate, Exhausted, choose};

/// Returns a connection that holds `held_bytes` and made progress `progressed_s` after `start`.
fn connection(start: Instant, id: u64, held_bytes: usize, progressed_s: u64) -> Candidate {
    Candidate {
        id,
        held_bytes,
        progressed_at: start + Duration::from_secs(progressed_s),
        is_protected: false,
    }
}

/// A connection without memory frees none, however long it has been idle.
#[test]
fn memory_comes_from_the_holder_without_progress_for_longest() {
    let start = Instant::now();
    let connections = [
        connection(start, 1, 0, 1),
        connection(start, 2, 100, 5),
        connection(start, 3, 9_000_000, 7),
        connection(start, 4, 1, 3),
    ];
    assert_eq!(choose(Exhausted::Memory, connections), Some(4));
}

/// An idle connection makes room before one that is sending a request is closed.
#[test]
fn an_idle_connection_makes_room_before_a_holder() {
    let start = Instant::now();
    let connections = [
        connection(start, 1, 100, 1),
        connection(start, 2, 0, 9),
        connection(start, 3, 0, 8),
    ];
    assert_eq!(choose(Exhausted::Connections, connections), Some(3));
    assert_eq!(choose(Exhausted::Connections, connections[..1].to_vec()), Some(1));
}

/// A request that was read completely may run, so that its caller must get the answer.
#[test]
fn a_request_that_was_read_completely_is_never_given_up() {
    let start = Instant::now();
    let mut whole = connection(start, 1, 100, 1);
    whole.is_protected = true;
    for exhausted in [Exhausted::Memory, Exhausted::Connections] {
        assert_eq!(choose(exhausted, [whole]), None);
        assert_eq!(choose(exhausted, [whole, connection(start, 2, 1, 9)]), Some(2));
    }
}

#[test]
fn the_connection_that_came_first_is_given_up_among_equals() {
    let start = Instant::now();
    let connections = [connection(start, 2, 1, 1), connection(start, 1, 1, 1)];
    assert_eq!(choose(Exhausted::Memory, connections), Some(1));
}
