//! Orders that are taken back from their owners while they wait.
//!
//! The order ends only when its owner confirms that it did not run. Until then it is an order like any other, whatever ends
//! first: the run, the job, the caller's connection or the contact with the owner.

use std::collections::BTreeMap;

use kqr_types::{InstanceId, Instant};

use super::{
    Jobs,
    orders::{OpenOrder, new_order},
    rebalance::{
        FreePlace, MAX_CANDIDATES, MAX_EXAMINED, MAX_PENDING, MAX_PER_TICK, MIN_WAIT, PENDING_TIME,
        QueuedOrder, does_move_pay, may_move,
    },
};
use crate::{
    Decision, OrderId, Output, RunOrder,
    owners::{Owners, SpareCapacity, Turns},
    target_losses::TargetLosses,
};

impl Jobs {
    /// Takes the waiting orders to be taken back, by owner.
    pub(crate) fn take_taken_back(&mut self) -> BTreeMap<InstanceId, Vec<OrderId>> {
        std::mem::take(&mut self.taken_back)
    }

    /// Returns whether an order may still wait at its owner.
    pub(crate) fn may_have_waiting_orders(&self, now: Instant) -> bool {
        self.orders.values().any(|order| order.may_be_taken_back(now))
    }

    /// Takes back orders that wait while another owner has free capacity for them.
    pub(crate) fn rebalance(
        &mut self,
        now: Instant,
        owners: &Owners,
        turns: Turns,
        losses: &TargetLosses,
        outputs: &mut Vec<Output>,
    ) {
        let pending = self.orders.values().filter(|order| order.is_pending(now)).count();
        let max_orders = MAX_PER_TICK.min(MAX_PENDING.saturating_sub(pending));
        if max_orders == 0 {
            return;
        }
        let mut spare = SpareCapacity::new(owners, now, turns);
        let mut moved = 0;
        for order_id in self.waiting_orders(now, owners) {
            if moved == max_orders {
                break;
            }
            moved += usize::from(self.take_back(now, order_id, owners, &mut spare, losses, outputs));
        }
    }

    /// Returns the orders that are known to wait at their owners, by priority and the time left on time. Orders that can no
    /// longer be on time come last.
    fn waiting_orders(&self, now: Instant, owners: &Owners) -> Vec<OrderId> {
        let mut waiting = Vec::new();
        let orders = self.orders.iter();
        let candidates = orders.filter(|(_, order)| order.may_be_taken_back(now));
        for (&order_id, order) in candidates.take(MAX_CANDIDATES) {
            if !owners.includes_order(&order.owner, order_id) {
                continue;
            }
            let Some(job) = self.live.get(&order.job).filter(|job| !job.is_ending) else {
                continue;
            };
            let Some(spec) = job.request.steps.get(order.step as usize) else {
                continue;
            };
            let left = job.on_time_left(now, spec.estimate);
            let is_late = left < spec.estimate;
            waiting.push((job.request.priority, is_late, left, order_id));
        }
        waiting.sort_unstable();
        waiting.truncate(MAX_EXAMINED);
        waiting.into_iter().map(|(.., order_id)| order_id).collect()
    }

    /// Takes back an order if there is free capacity for which that pays.
    fn take_back(
        &mut self,
        now: Instant,
        order_id: OrderId,
        owners: &Owners,
        spare: &mut SpareCapacity<'_>,
        losses: &TargetLosses,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(open) = self.orders.get_mut(&order_id) else {
            return false;
        };
        let Some(job) = self.live.get_mut(&open.job) else {
            return false;
        };
        let (step, index) = (open.step, open.index);
        let slowness = owners.usual_slowness(&job.request.service);
        let order = new_order(now, job, order_id, step, index, losses, slowness);
        let Some(order) = order else {
            return false;
        };
        let Some(task) = job.task_mut(open.step, open.index) else {
            return false;
        };
        let Some(queue) = spare.queue_of(&open.owner, &order) else {
            return false;
        };
        let queued = QueuedOrder {
            waited: now.since(open.placed_at),
            on_time_left: order.on_time_left,
            estimate: order.estimate,
            queue_wait: queue.wait,
            slowness: queue.slowness,
            moves: task.moves,
        };
        if !is_movable(&order) || !may_move(&queued, true) {
            return false;
        }
        let pays = |place: FreePlace| does_move_pay(&queued, place);
        let may_leave_rack = !queued.rack_choice(&self.options).does_wait_pay();
        let Some(to) = spare.reserve(&order, &open.owner, may_leave_rack, pays) else {
            return false;
        };
        task.moves += 1;
        open.taken_back_at = Some(now);
        self.taken_back
            .entry(open.owner.clone())
            .or_default()
            .push(order_id);
        let mut run = order.run;
        run.attempt = task.attempt;
        outputs.push(Output::Decision(Decision::OrderTakenBack {
            run,
            owner: open.owner.clone(),
            free_owner: to.owner,
            waited_ms: queued.waited.as_millis() as u64,
            expected_wait_ms: queue.wait.as_millis() as u64,
        }));
        true
    }
}

/// A suspect waits for an idle target, which the index of free capacity does not know.
const fn is_movable(order: &RunOrder) -> bool {
    !order.is_suspect()
}

impl OpenOrder {
    /// Returns whether the order may still wait at its owner and was not taken back yet.
    fn may_be_taken_back(&self, now: Instant) -> bool {
        !self.has_begun
            && self.taken_back_at.is_none()
            && self.ends_by.is_none()
            && now.since(self.placed_at) >= MIN_WAIT
    }

    /// Returns whether the answer of the owner that is to give the order back is outstanding.
    fn is_pending(&self, now: Instant) -> bool {
        let is_recent = self.taken_back_at.is_some_and(|at| now.since(at) < PENDING_TIME);
        is_recent && !self.has_begun
    }
}
