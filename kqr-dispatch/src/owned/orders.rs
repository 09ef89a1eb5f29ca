//! Orders from coordinators: queueing them, and stopping their runs.

use std::{sync::Arc, time::Duration};

use kqr_types::{InstanceId, Instant, TargetId};

use super::{
    OwnedTargets, open_call::OpenCall, pass_inputs::CheckedTargets, phase::Phase, run::RunState,
    target::Target, waiting_order::WaitingOrder,
};
use crate::{Decision, NotRun, OrderId, Output, RunEnd, RunId, RunOrder, StopCall, TargetCall};

/// Time after which an order whose start waits for the link is returned, so that its coordinator can use another owner. It
/// is longer than the coordinators need to learn that the link is full.
const MAX_LINK_WAIT: Duration = Duration::from_millis(200);

impl OwnedTargets {
    /// Queues an order that was sent at `sent_at` until a target has free capacity, or refuses it if no target can run it.
    pub(crate) fn accept_order(
        &mut self,
        now: Instant,
        sent_at: Instant,
        coordinator: InstanceId,
        spec: Arc<str>,
        order: RunOrder,
        outputs: &mut Vec<Output>,
    ) {
        let is_possible = self.targets.values().any(|target| may_run(target, &order));
        if self.is_leaving || !is_possible {
            self.refuse_order(coordinator, &order, NotRun::NoTarget, outputs);
            return;
        }
        let rack_wait = self.rack_wait(now, sent_at, &order);
        self.waiting.push(WaitingOrder {
            coordinator,
            spec,
            sent_at,
            rack_wait,
            until: sent_at + order.time_left,
            order,
        });
    }

    /// Cancels an order, and stops its run if it was started. The time for that began at `since`.
    pub(crate) fn cancel_order(
        &mut self,
        now: Instant,
        since: Instant,
        coordinator: &InstanceId,
        order_id: OrderId,
        outputs: &mut Vec<Output>,
    ) {
        if self.waiting.remove_order(coordinator, order_id) {
            let end = RunEnd::NotRun(NotRun::Cancelled);
            self.end_order(coordinator.clone(), order_id, end, None);
            return;
        }
        let runs = |target: &Target| target.runs.of_order(coordinator, order_id);
        self.stop_runs(now, since, "cancelled", runs, outputs);
    }

    /// Ends an order that its coordinator takes back if it still waits. An order that has begun is not affected: a stop
    /// would discard its progress and start the task again.
    pub(crate) fn give_back_order(&mut self, coordinator: &InstanceId, order_id: OrderId) {
        if self.waiting.remove_order(coordinator, order_id) {
            let end = RunEnd::NotRun(NotRun::Cancelled);
            self.end_order(coordinator.clone(), order_id, end, None);
        }
    }

    /// Records that the jobs of waiting orders have begun elsewhere.
    pub(crate) fn mark_orders_begun(&mut self, coordinator: &InstanceId, order_ids: &[OrderId]) {
        for order_id in order_ids {
            self.waiting.mark_begun(coordinator, *order_id);
        }
    }

    /// Drops the orders of a lost coordinator and stops their runs: no caller waits for them any more, and
    /// the callers may submit their jobs to another entry. The time for that began at `since`.
    pub(crate) fn drop_orders_of(
        &mut self,
        now: Instant,
        since: Instant,
        coordinator: &InstanceId,
        outputs: &mut Vec<Output>,
    ) {
        self.waiting.remove_all_of(coordinator);
        let runs = |target: &Target| target.runs.of_coordinator(coordinator);
        self.stop_runs(now, since, "coordinator-lost", runs, outputs);
        for target in self.targets.values_mut().chain(&mut self.former) {
            target.runs.forget_coordinator(coordinator);
        }
    }

    /// Refuses the waiting orders that have expired, or that no target can run any more.
    pub(super) fn expire_waiting_orders(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let usable = CheckedTargets {
            list_number: self.list_number,
            are_usable: self.targets.values().map(Target::is_usable).collect(),
        };
        let are_targets_changed = self.checked_targets != usable;
        self.checked_targets = usable;
        let mut expired = Vec::new();
        for (place, waiting) in self.waiting.iter() {
            if self.is_leaving {
                expired.push((place, NotRun::NoTarget));
            } else if waiting.until <= now {
                expired.push((place, NotRun::Expired));
            } else if self.are_starts_held(now) && now.since(waiting.sent_at) >= MAX_LINK_WAIT {
                expired.push((place, NotRun::Refused));
            } else if are_targets_changed
                && !self
                    .targets
                    .values()
                    .any(|target| may_run(target, &waiting.order))
            {
                expired.push((place, NotRun::NoTarget));
            }
        }
        for (place, cause) in expired {
            if let Some(waiting) = self.waiting.remove(place) {
                self.refuse_order(waiting.coordinator, &waiting.order, cause, outputs);
            }
        }
    }

    /// Sends a stop for a run, which is resent until the target confirms it. If too many stops are not answered, it is sent
    /// after one of them.
    pub(super) fn stop_run(
        &mut self,
        now: Instant,
        target: &TargetId,
        run: &RunId,
        cause: &'static str,
        outputs: &mut Vec<Output>,
    ) {
        let max_open_calls = self.options.max_open_calls;
        let Some(owned) = self.targets.get_mut(target) else {
            return;
        };
        let stopped = owned.runs.update(run, |state| {
            let before = std::mem::replace(&mut state.state, RunState::Stopping);
            state.state_since = now;
            (before, state.percent)
        });
        let Some((before, percent)) = stopped else { return };
        if before != RunState::Stopping {
            outputs.push(Output::Decision(Decision::RunStopped {
                run: run.clone(),
                target: target.clone(),
                cause,
                percent,
            }));
        }
        if owned.open_stops >= max_open_calls {
            owned.pending_stops.insert(run.clone());
            return;
        }
        owned.pending_stops.remove(run);
        owned.open_stops += 1;
        let token = owned.token;
        let open = OpenCall::Stop {
            target: target.clone(),
            token,
            run: run.clone(),
        };
        let call = StopCall { run: run.clone() };
        self.send_call(open, TargetCall::Stop(call), outputs);
    }

    /// Sends stops that were held back while too many others were not answered. Those of runs that have ended are dropped.
    pub(super) fn send_pending_stops(&mut self, now: Instant, id: &TargetId, outputs: &mut Vec<Output>) {
        let max_open_calls = self.options.max_open_calls;
        while let Some(target) = self.targets.get_mut(id)
            && target.open_stops < max_open_calls
            && let Some(run) = target.pending_stops.pop_first()
        {
            self.stop_run(now, id, &run, "pending", outputs);
        }
    }

    /// Resends the stops that the target has not confirmed.
    pub(super) fn resend_stops(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let mut due = Vec::new();
        for (id, target) in &self.targets {
            if !target.runs.has_stopping() {
                continue;
            }
            for (run, state) in target.runs.iter() {
                let is_due = state.state == RunState::Stopping
                    && state.stop_confirmed_at.is_none()
                    && now.since(state.state_since) >= self.options.stop_retry_delay;
                if is_due && target.phase != Phase::Fenced {
                    due.push((id.clone(), run.clone()));
                }
            }
        }
        for (target, run) in due {
            self.stop_run(now, &target, &run, "unconfirmed", outputs);
        }
    }

    /// Stops the `runs` of each target.
    fn stop_runs<Selector>(
        &mut self,
        now: Instant,
        since: Instant,
        cause: &'static str,
        runs: Selector,
        outputs: &mut Vec<Output>,
    ) where
        Selector: Fn(&Target) -> Vec<RunId>,
    {
        let mut selected = Vec::new();
        for (id, target) in &mut self.targets {
            for run in runs(target) {
                let state = target.runs.update(&run, |state| {
                    state.require_end(since);
                    state.state
                });
                if state.is_some_and(|state| state != RunState::Stopping) {
                    selected.push((id.clone(), run));
                }
            }
        }
        for (target, run) in selected {
            self.stop_run(now, &target, &run, cause, outputs);
        }
    }

    fn refuse_order(
        &mut self,
        coordinator: InstanceId,
        order: &RunOrder,
        cause: NotRun,
        outputs: &mut Vec<Output>,
    ) {
        outputs.push(Output::Decision(Decision::OrderRefused {
            run: order.run.clone(),
            cause,
        }));
        self.end_order(coordinator, order.id, RunEnd::NotRun(cause), None);
    }
}

/// Returns whether the target could run the order, regardless of its free capacity.
pub(super) fn may_run(target: &Target, order: &RunOrder) -> bool {
    let has_label = order
        .label
        .as_ref()
        .is_none_or(|label| target.record.has_label(label));
    target.is_usable()
        && has_label
        && target.record.service == order.service
        && target.record.capacity.can_fit(&order.needs)
        && !order.avoided_targets.contains(&target.record.id)
}
