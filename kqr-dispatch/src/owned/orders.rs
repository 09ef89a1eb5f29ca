//! Orders from coordinators: queueing them, and starting and stopping their runs.

use std::{sync::Arc, time::Duration};

use kqr_types::{InstanceId, Instant, TargetId};

use super::{
    OwnedTargets,
    blocked_queue::Misfits,
    full_racks::FullRacks,
    open_call::OpenCall,
    pass_inputs::PassInputs,
    phase::Phase,
    run::{Run, RunState},
    target::Target,
    waiting_order::WaitingOrder,
};
use crate::{
    DataPlace, Decision, NotRun, OrderId, Output, RunEnd, RunId, RunOrder, StartCall, StopCall, TargetCall,
    message_size::START_BYTES, suitability::Suitability,
};

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

    /// Starts the waiting orders for which a target has free capacity, in the order of the queue. Orders that fit nowhere
    /// don't hold up those behind them.
    pub(crate) fn start_waiting_orders(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.waiting.is_empty() {
            self.starts_held_since = None;
            return;
        }
        self.waiting.move_late_orders(now);
        if self.waiting.move_begun_orders() {
            self.last_pass = PassInputs::default();
        }
        let has_rack_wait_ended = self.rack_wait_ends_at.is_some_and(|at| at <= now);
        if !has_rack_wait_ended && self.pass_inputs(now) == self.last_pass {
            return;
        }
        self.rack_wait_ends_at = None;
        let mut full_racks = FullRacks::default();
        let mut misfits = Misfits::default();
        let (mut last, mut has_moved, mut is_held) = (None, false, false);
        while let Some((place, waiting)) = self.waiting.next_after(last) {
            if !self.bulk.has_room() {
                is_held = true;
                break;
            }
            last = Some(place);
            if misfits.covers(&waiting.order) {
                continue;
            }
            let rack_wait_end = waiting.rack_wait_end(now);
            let is_bound = rack_wait_end.is_some();
            if is_bound {
                self.rack_wait_ends_at = earliest(self.rack_wait_ends_at, rack_wait_end);
            }
            if is_bound && full_racks.contains(&waiting.order) {
                continue;
            }
            match self.pick_target(now, waiting) {
                Some(target) => {
                    if let Some(waiting) = self.waiting.remove(place) {
                        has_moved |= self.waiting.mark_job_begun(&waiting.order.run.task.job);
                        self.start_run(now, &target, &waiting, outputs);
                    }
                }
                // An order that waits for its rack says nothing about the orders behind it.
                None if is_bound => full_racks.insert(&waiting.order),
                None => misfits.record(&waiting.order),
            }
        }
        self.starts_held_since = if is_held {
            self.starts_held_since.or(Some(now))
        } else {
            None
        };
        if has_moved || is_held {
            self.last_pass = PassInputs::default();
            return;
        }
        self.last_pass = self.pass_inputs(now);
    }

    /// Returns what decides whether a waiting order can start.
    fn pass_inputs(&self, now: Instant) -> PassInputs {
        let mut open = Vec::new();
        for (position, target) in self.targets.values().enumerate() {
            if self.is_open(now, target) {
                open.push((position, target.free(), target.runs.len()));
            }
        }
        PassInputs {
            arrivals: self.waiting.arrivals(),
            list_number: self.list_number,
            open,
        }
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
        let is_selected = |run: &Run| run.ordered_by.as_ref() == Some(&(coordinator.clone(), order_id));
        self.stop_runs_where(now, since, "cancelled", is_selected, outputs);
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
        let is_selected = |run: &Run| run.ordered_by.as_ref().is_some_and(|(by, _)| by == coordinator);
        self.stop_runs_where(now, since, "coordinator-lost", is_selected, outputs);
        for target in self.targets.values_mut().chain(&mut self.former) {
            for run in target.runs.values_mut() {
                if is_selected(run) {
                    run.ordered_by = None;
                }
            }
        }
    }

    /// Refuses the waiting orders that have expired, or that no target can run any more.
    pub(super) fn expire_waiting_orders(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let mut expired = Vec::new();
        for (place, waiting) in self.waiting.iter() {
            if self.is_leaving {
                expired.push((place, NotRun::NoTarget));
            } else if waiting.until <= now {
                expired.push((place, NotRun::Expired));
            } else if self.are_starts_held(now) && now.since(waiting.sent_at) >= MAX_LINK_WAIT {
                expired.push((place, NotRun::Refused));
            } else if !self
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

    /// Sends a stop for a run, which is resent until the target confirms it.
    pub(super) fn stop_run(
        &mut self,
        now: Instant,
        target: &TargetId,
        run: &RunId,
        cause: &'static str,
        outputs: &mut Vec<Output>,
    ) {
        let Some(owned) = self.targets.get_mut(target) else {
            return;
        };
        let Some(state) = owned.runs.get_mut(run) else {
            return;
        };
        if state.state != RunState::Stopping {
            outputs.push(Output::Decision(Decision::RunStopped {
                run: run.clone(),
                target: target.clone(),
                cause,
                percent: state.percent,
            }));
        }
        state.set_state(now, RunState::Stopping);
        let token = owned.token;
        let open = OpenCall::Stop {
            target: target.clone(),
            token,
            run: run.clone(),
        };
        let call = StopCall { run: run.clone() };
        self.send_call(open, TargetCall::Stop(call), outputs);
    }

    /// Resends the stops that the target has not confirmed.
    pub(super) fn resend_stops(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let mut due = Vec::new();
        for (id, target) in &self.targets {
            for (run, state) in &target.runs {
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

    fn stop_runs_where<Selector>(
        &mut self,
        now: Instant,
        since: Instant,
        cause: &'static str,
        is_selected: Selector,
        outputs: &mut Vec<Output>,
    ) where
        Selector: Fn(&Run) -> bool,
    {
        let mut selected = Vec::new();
        for (id, target) in &mut self.targets {
            for (run, state) in &mut target.runs {
                if !is_selected(state) {
                    continue;
                }
                state.require_end(since);
                if state.state != RunState::Stopping {
                    selected.push((id.clone(), run.clone()));
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

    /// Returns the preferred target if it has free capacity, or else the most suitable one that has. A suspect
    /// gets an idle target, if there is one.
    fn pick_target(&self, now: Instant, waiting: &WaitingOrder) -> Option<TargetId> {
        let idle = waiting
            .order
            .is_suspect()
            .then(|| self.pick_target_where(now, waiting, |target| target.runs.is_empty()))
            .flatten();
        if idle.is_some() {
            return idle;
        }
        if let Some(rack) = waiting.order.data_rack.as_deref() {
            let on_rack = self.pick_target_where(now, waiting, |target| target.record.has_label(rack));
            if on_rack.is_some() || waiting.is_bound_to_rack(now) {
                return on_rack;
            }
        }
        self.pick_target_where(now, waiting, |_| true)
    }

    fn pick_target_where<Filter>(
        &self,
        now: Instant,
        waiting: &WaitingOrder,
        is_eligible: Filter,
    ) -> Option<TargetId>
    where
        Filter: Fn(&Target) -> bool,
    {
        let (order, waited) = (&waiting.order, now.since(waiting.sent_at));
        let mut best: Option<(Suitability, &TargetId)> = None;
        for (id, target) in &self.targets {
            let has_capacity = self.is_open(now, target)
                && is_eligible(target)
                && !(order.is_suspect() && target.runs.values().any(|run| run.is_suspect))
                && may_run(target, order)
                && target.free().can_fit(&order.needs)
                && is_within_spread(target, order);
            if !has_capacity {
                continue;
            }
            if order.preferred_target.as_ref() == Some(id) {
                return Some(id.clone());
            }
            let is_data_remote = order
                .data_rack
                .as_ref()
                .is_some_and(|rack| !target.record.has_label(rack));
            let slowdown = if is_data_remote {
                self.options.remote_slowdown
            } else {
                1.0
            };
            let suitability = Suitability::of(order, waited, target.health.slowness(), slowdown, true);
            if best.is_none_or(|(least, _)| suitability.is_better(least)) {
                best = Some((suitability, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    fn start_run(&mut self, now: Instant, id: &TargetId, waiting: &WaitingOrder, outputs: &mut Vec<Output>) {
        let order = &waiting.order;
        let start_by = now + self.options.max_lease_duration();
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let Some(lease_until) = target.extend_lease(now, &self.options) else {
            return;
        };
        let run = Run {
            ordered_by: Some((waiting.coordinator.clone(), order.id)),
            needs: order.needs,
            estimate: order.stated_estimate,
            state: RunState::Starting,
            sent_at: now,
            state_since: now,
            start_by,
            must_end_since: None,
            stop_confirmed_at: None,
            percent: 0,
            progressed_at: None,
            failures: order.failures,
            is_suspect: order.is_suspect(),
            life: target.record.life,
        };
        target.runs.insert(order.run.clone(), run);
        let slowness_milli = (target.health.slowness() * 1000.0) as u64;
        let open = OpenCall::Start {
            target: id.clone(),
            token: target.token,
            run: order.run.clone(),
        };
        self.begun
            .entry(waiting.coordinator.clone())
            .or_default()
            .push(order.id);
        let call = StartCall {
            run: order.run.clone(),
            spec: Arc::clone(&waiting.spec),
            lease_until,
        };
        outputs.push(Output::Decision(Decision::RunStarted {
            run: order.run.clone(),
            target: id.clone(),
            waited_ms: now.since(waiting.sent_at).as_millis() as u64,
            expected_wait_ms: order.expected_wait.as_millis() as u64,
            estimate_ms: order.estimate.as_millis() as u64,
            slowness_milli,
            data_place: data_place(now, target, waiting),
        }));
        self.bulk.spend(|| START_BYTES + call.spec.len() as u64);
        self.send_call(open, TargetCall::Start(call), outputs);
    }
}

fn earliest(first: Option<Instant>, second: Option<Instant>) -> Option<Instant> {
    first.into_iter().chain(second).min()
}

/// Returns where the target is in relation to the data of the order.
fn data_place(now: Instant, target: &Target, waiting: &WaitingOrder) -> DataPlace {
    let Some(rack) = waiting.order.data_rack.as_deref() else {
        return DataPlace::NoRack;
    };
    let has_waited = waiting.rack_wait.is_some_and(|wait| wait.since < now);
    if target.record.has_label(rack) {
        DataPlace::OnRack { has_waited }
    } else {
        DataPlace::Elsewhere { has_waited }
    }
}

/// Returns whether the target could run the order, regardless of its free capacity.
pub(super) fn may_run(target: &Target, order: &RunOrder) -> bool {
    let is_granted = matches!(target.phase, Phase::Attaching | Phase::Attached);
    let is_usable = is_granted && !target.is_leaving && !target.is_evacuated && !target.must_release;
    let has_label = order
        .label
        .as_ref()
        .is_none_or(|label| target.record.has_label(label));
    is_usable
        && has_label
        && target.record.service == order.service
        && target.record.capacity.can_fit(&order.needs)
        && !order.avoided_targets.contains(&target.record.id)
}

/// Returns whether the target may run one more task of the step.
fn is_within_spread(target: &Target, order: &RunOrder) -> bool {
    let Some(max_per_target) = order.max_per_target else {
        return true;
    };
    let task = &order.run.task;
    let same_step = target.runs.keys().filter(|run| {
        run.task.job == task.job && run.task.occurrence == task.occurrence && run.task.step == task.step
    });
    same_step.count() < max_per_target as usize
}
