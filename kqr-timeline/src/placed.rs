use std::cmp::Ordering;

use kqr_telemetry::Event;

/// An event, ordered by its place in the time line.
///
/// The hybrid time puts a message's receipt after its sending; events with equal times keep the order of their process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placed(pub Event);

impl Ord for Placed {
    fn cmp(&self, other: &Self) -> Ordering {
        let (left, right) = (&self.0, &other.0);
        let place = |event: &Event| (event.timeline_us(), event.time);
        place(left)
            .cmp(&place(right))
            .then_with(|| left.instance.cmp(&right.instance))
            .then_with(|| left.sequence.cmp(&right.sequence))
    }
}

impl PartialOrd for Placed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
