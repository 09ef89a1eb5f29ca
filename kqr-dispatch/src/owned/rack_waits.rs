//! Orders that wait for a target on the rack of their data.

use std::time::Duration;

use kqr_types::Instant;

use super::{OwnedTargets, orders::may_run, run::Run, target::Target, waiting_order::RackWait};
use crate::{RunOrder, load_report::RANKS, locality::RackChoice, suitability::on_time_budget};

/// Maximum number of runs of a target that are examined for each order that names its rack.
const MAX_EXAMINED_RUNS: usize = 64;

impl OwnedTargets {
    /// Returns how long an order that was sent at `sent_at` waits for a target on its rack, if that pays.
    pub(super) fn rack_wait(&self, now: Instant, sent_at: Instant, order: &RunOrder) -> Option<RackWait> {
        let rack = order.data_rack.as_deref()?;
        let choice = RackChoice {
            rack_wait: self.expected_rack_wait(now, order, rack)?,
            elsewhere_wait: self.expected_wait_elsewhere(now, order, rack),
            run_time: order.estimate,
            slowdown: self.options.remote_slowdown,
            on_time_left: Duration::from_secs_f32(on_time_budget(order, now.since(sent_at))),
            max_wait: self.options.max_rack_wait,
        };
        let until = now + choice.wait_limit()?;
        Some(RackWait { since: now, until })
    }

    /// Returns the expected wait for a target on the rack, behind the orders that wait for it already, or `None` if no target
    /// there may run the order.
    fn expected_rack_wait(&self, now: Instant, order: &RunOrder, rack: &str) -> Option<Duration> {
        let (mut places, mut next_end): (u64, Option<Duration>) = (0, None);
        let on_rack = self
            .targets
            .values()
            .filter(|target| target.record.has_label(rack));
        for target in on_rack.filter(|target| may_run(target, order) && self.is_open(now, target)) {
            places += (target.record.capacity.cpu_milli / order.needs.cpu_milli.max(1)).min(1000);
            let free_after = time_until_free(now, target, order);
            next_end = Some(next_end.map_or(free_after, |least| least.min(free_after)));
        }
        let next_end = next_end?;
        let ahead = self.waiting.run_time_for_rack(rack, order.priority);
        Some(next_end + ahead / u32::try_from(places).unwrap_or(u32::MAX).max(1))
    }

    /// Returns the expected wait for a target that is not on the rack.
    fn expected_wait_elsewhere(&self, now: Instant, order: &RunOrder, rack: &str) -> Duration {
        let mut cpu = 0_u64;
        let others = self
            .targets
            .values()
            .filter(|target| !target.record.has_label(rack));
        for target in others.filter(|target| may_run(target, order) && self.is_open(now, target)) {
            if target.free().can_fit(&order.needs) {
                return Duration::ZERO;
            }
            cpu += target.record.capacity.cpu_milli;
        }
        let priority = (order.priority as usize).min(RANKS - 1);
        let queued = self.waiting.work().ahead(priority, order.label.is_some());
        Duration::from_millis(queued.saturating_mul(1000) / cpu.max(1))
    }
}

/// Returns the time until the order fits on the target, if its runs end as estimated. With many runs it is taken to be the run
/// time of the order.
fn time_until_free(now: Instant, target: &Target, order: &RunOrder) -> Duration {
    let mut free = target.free();
    if free.can_fit(&order.needs) {
        return Duration::ZERO;
    }
    if target.runs.len() > MAX_EXAMINED_RUNS {
        return order.estimate;
    }
    let slowness = target.health.slowness().clamp(0.0, 1000.0);
    let left = |run: &Run| {
        run.estimate
            .mul_f32(slowness)
            .saturating_sub(now.since(run.sent_at))
    };
    let mut ends: Vec<_> = target.runs.values().map(|run| (left(run), run.needs)).collect();
    ends.sort_unstable_by_key(|(left, _)| *left);
    for (left, needs) in ends {
        free += needs;
        if free.can_fit(&order.needs) {
            return left;
        }
    }
    order.estimate
}
