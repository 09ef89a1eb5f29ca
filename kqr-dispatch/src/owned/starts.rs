//! Starting the orders that wait for capacity.

use std::sync::Arc;

use kqr_fleet::Resources;
use kqr_types::{Instant, TargetId};

use super::{
    OwnedTargets,
    blocked_queue::Misfits,
    full_racks::FullRacks,
    open_call::OpenCall,
    orders::may_run,
    pass_inputs::PassInputs,
    run::{Run, RunState},
    target::Target,
    waiting_order::WaitingOrder,
};
use crate::{
    DataPlace, Decision, Output, RunOrder, StartCall, TargetCall, message_size::START_BYTES,
    suitability::Suitability,
};

impl OwnedTargets {
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
        let mut room = self.largest_room(now);
        while let Some((place, waiting)) = self.waiting.next_after(last) {
            if !self.bulk.has_room() {
                is_held = true;
                break;
            }
            if !self.waiting.may_fit(room) {
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
                        room = self.largest_room(now);
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

    /// Returns the largest amount of each resource that is free on a target to which a start may be sent, or `None` without such
    /// a target.
    fn largest_room(&self, now: Instant) -> Option<Resources> {
        let targets = self.targets.values();
        let open = targets.filter(|target| self.may_start(now, target));
        open.map(Target::free).reduce(Resources::max_of_each)
    }

    fn may_start(&self, now: Instant, target: &Target) -> bool {
        !self.is_leaving && target.may_start(now, &self.options)
    }

    /// Returns what decides whether a waiting order can start.
    fn pass_inputs(&self, now: Instant) -> PassInputs {
        let mut open = Vec::new();
        for (position, target) in self.targets.values().enumerate() {
            if self.may_start(now, target) {
                open.push((position, target.free(), target.runs.len()));
            }
        }
        PassInputs {
            arrivals: self.waiting.arrivals(),
            list_number: self.list_number,
            open,
        }
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
            let has_capacity = self.may_start(now, target)
                && is_eligible(target)
                && !(order.is_suspect() && target.runs.has_suspect())
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

/// Returns whether the target may run one more task of the step.
fn is_within_spread(target: &Target, order: &RunOrder) -> bool {
    let Some(max_per_target) = order.max_per_target else {
        return true;
    };
    target.runs.are_fewer_of_step(order, max_per_target as usize)
}
