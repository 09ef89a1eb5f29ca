use std::time::Duration;

use crate::RunOrder;

/// Fraction of the remaining on-time budget that a run may be expected to take; concurrent runs slow it down.
const ON_TIME_FRACTION: f32 = 0.88;
/// The same fraction while many targets are free. Estimates of callers are wrong by half, so that a run which just fits
/// its budget is often late.
const ON_TIME_FRACTION_WHEN_FREE: f32 = 0.55;
/// Utilisation of the targets up to which that fraction applies.
const LOW_UTILISATION: f32 = 0.4;
/// Utilisation of the targets from which on fast targets are kept for the runs that need them.
const HIGH_UTILISATION: f32 = 0.8;
/// Network time of a start and of its end, plus processing time in the entries.
const CALL_OVERHEAD: Duration = Duration::from_millis(15);

/// How well a target suits an order. The lowest value is the best.
///
/// Runs that end on time even on a slow target go there, which keeps fast targets free for runs that would be
/// late elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct Suitability {
    /// 0 if the run is expected to end on time, 1 if not.
    class: u8,
    /// Cost within the class.
    cost: f32,
}

/// Returns the fraction of the on-time budget that a run may be expected to take at the given utilisation of the targets.
/// With free targets a run goes to a fast one; the busier they are, the more runs go to slow ones that are just on time.
pub(crate) fn on_time_fraction(utilisation: f32) -> f32 {
    let busy = (utilisation - LOW_UTILISATION) / (HIGH_UTILISATION - LOW_UTILISATION);
    ON_TIME_FRACTION_WHEN_FREE + (ON_TIME_FRACTION - ON_TIME_FRACTION_WHEN_FREE) * busy.clamp(0.0, 1.0)
}

/// Returns the longest expected run time, in seconds, with which a run of `order` that begins now ends on time, after
/// the order has waited for `waited`.
pub(crate) fn on_time_budget(order: &RunOrder, waited: Duration) -> f32 {
    let left = order.on_time_left.saturating_sub(CALL_OVERHEAD + waited);
    left.as_secs_f32()
}

impl Suitability {
    /// Returns how well a target on which runs take `slowness` times their estimate suits `order`, which has
    /// waited for `waited`. `slowdown` is the factor on the run time for the distance to the data.
    pub(crate) fn of(
        order: &RunOrder,
        waited: Duration,
        slowness: f32,
        slowdown: f32,
        is_near_owner: bool,
    ) -> Self {
        let expected = order.estimate.as_secs_f32() * slowness * slowdown;
        if expected > on_time_budget(order, waited) * ON_TIME_FRACTION {
            return Self {
                class: 1,
                cost: expected,
            };
        }
        // Prefers targets of the same data centre, then the slowest target.
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
