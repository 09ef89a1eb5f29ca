use std::time::Duration;

use crate::RunOrder;

/// Factor of the run time on a rack without the data.
const REMOTE_DATA_FACTOR: f32 = 1.5;
/// Part of the time for an answer on time that a run may be expected to take: runs beside it slow it down.
const ON_TIME_FRACTION: f32 = 0.88;
/// Time for the way of a start and of its end, and for what the entries compute.
const CALL_OVERHEAD: Duration = Duration::from_millis(15);

/// How well a target suits an order. The least value is the best.
///
/// Slow targets take what is still on time there, so that the fast ones have room for what would be late elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct Suitability {
    /// 0 if the run is on time, 1 if it will be late.
    class: u8,
    /// Order within the class.
    cost: f32,
}

impl Suitability {
    /// Returns how well a target suits `order` on which runs take `slowness` times the estimate, after the order has waited
    /// for `waited`.
    pub(crate) fn of(
        order: &RunOrder,
        waited: Duration,
        slowness: f32,
        is_data_remote: bool,
        is_near_owner: bool,
    ) -> Self {
        let factor = if is_data_remote { REMOTE_DATA_FACTOR } else { 1.0 };
        let expected = order.estimate.as_secs_f32() * slowness * factor;
        let on_time = order
            .on_time_left
            .saturating_sub(CALL_OVERHEAD + waited)
            .as_secs_f32();
        if expected > on_time * ON_TIME_FRACTION {
            return Self {
                class: 1,
                cost: expected,
            };
        }
        // A target of the same data centre goes first, then the slowest one.
        let link = if is_near_owner { 0.0 } else { 1.0 };
        Self {
            class: 0,
            cost: link - expected,
        }
    }

    /// Returns whether `self` is better than `other`.
    pub(crate) fn is_better(self, other: Self) -> bool {
        self < other
    }
}
