//! Decides which waiting orders are taken back from their owners, because another owner has free capacity for them.

use std::time::Duration;

use crate::{Options, locality::RackChoice};

/// Shortest wait of an order that is taken back: above the round trip of an order and its start. In addition, a load of the
/// owner must include the order, which takes up to an interval of reports.
pub(super) const MIN_WAIT: Duration = Duration::from_millis(10);
/// Shortest wait before an order is handed over to another data centre, whose links are expensive: capacity that becomes
/// free in the own data centre is reported within that time.
const MIN_FAR_WAIT: Duration = Duration::from_millis(60);
/// Round trip to an owner of the own data centre, and its processing time.
const NEAR_COST: Duration = Duration::from_millis(5);
/// The same to another data centre.
const FAR_COST: Duration = Duration::from_millis(8);
/// Least gain of a handover to another data centre beyond its cost.
const MIN_FAR_GAIN: Duration = Duration::from_millis(30);
/// Number of times that a task may be moved. The free capacity may be taken by the time that its order arrives, and the order
/// then waits again.
const MAX_MOVES: u32 = 2;
/// Maximum number of orders taken back in one tick of a coordinator. Others see the same free capacity.
pub(super) const MAX_PER_TICK: usize = 4;
/// Maximum number of orders whose owners have not answered yet.
pub(super) const MAX_PENDING: usize = 8;
/// Time after which an unanswered order no longer counts as pending: its owner has started or ended it by then, or is lost.
pub(super) const PENDING_TIME: Duration = Duration::from_millis(200);
/// Maximum number of orders compared in one tick, the oldest of those that may wait.
pub(super) const MAX_CANDIDATES: usize = 2_000;
/// Maximum number of orders examined in one tick.
pub(super) const MAX_EXAMINED: usize = 16;

/// Largest ratio of run time to estimate that is taken into account, so that durations stay in range.
const MAX_SLOWNESS: f32 = 1000.0;

/// An order that waits at an owner, as far as its coordinator knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QueuedOrder {
    /// Time since the order was placed.
    pub(crate) waited: Duration,
    /// Time left until an end of the run counts as late.
    pub(crate) on_time_left: Duration,
    /// Estimated run time at normal speed.
    pub(crate) estimate: Duration,
    /// Expected wait at the owner by its queue.
    pub(crate) queue_wait: Duration,
    /// Ratio of run time to estimate on the targets of the owner.
    pub(crate) slowness: f32,
    /// Number of earlier moves of the task.
    pub(crate) moves: u32,
}

impl QueuedOrder {
    /// Returns what the order may expect on its rack and on free targets elsewhere.
    pub(super) fn rack_choice(&self, options: &Options) -> RackChoice {
        RackChoice {
            rack_wait: self.queue_wait.max(self.waited),
            elsewhere_wait: NEAR_COST,
            run_time: self.estimate,
            slowdown: options.remote_slowdown,
            on_time_left: self.on_time_left,
            max_wait: options.max_rack_wait,
        }
    }
}

/// Free capacity at another owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FreePlace {
    /// Whether the owner is in the data centre of the coordinator.
    pub(crate) is_near: bool,
    /// Ratio of run time to estimate on the target.
    pub(crate) slowness: f32,
}

/// Returns whether an order may be moved at all, and whether to another data centre.
pub(crate) fn may_move(order: &QueuedOrder, is_near: bool) -> bool {
    let min_wait = if is_near { MIN_WAIT } else { MIN_FAR_WAIT };
    order.moves < MAX_MOVES && order.waited >= min_wait
}

/// Returns whether a move of the order to `place` is expected to pay: the run ends on time there although it waits
/// here, or it ends earlier there. A move to another data centre must save more than its cost.
pub(crate) fn does_move_pay(order: &QueuedOrder, place: FreePlace) -> bool {
    if !may_move(order, place.is_near) {
        return false;
    }
    // The queue does not include the running work, so an order that has waited for long is expected to wait as long again.
    let wait_here = order.queue_wait.max(order.waited);
    let staying = wait_here + run_time(order.estimate, order.slowness);
    let cost = if place.is_near { NEAR_COST } else { FAR_COST };
    let moving = cost + run_time(order.estimate, place.slowness);
    if place.is_near {
        return moving <= order.on_time_left || moving < staying;
    }
    moving + MIN_FAR_GAIN < staying
}

fn run_time(estimate: Duration, slowness: f32) -> Duration {
    estimate.mul_f32(slowness.clamp(0.0, MAX_SLOWNESS))
}

#[cfg(test)]
mod tests;
