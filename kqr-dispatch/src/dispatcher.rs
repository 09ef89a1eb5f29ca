use std::{collections::BTreeMap, time::Duration};

use kqr_fleet::{EntryInfo, FencingToken, TargetReport};
use kqr_types::{Incarnation, InstanceId, Instant, JobKey, TargetId};

use crate::{
    Decision, GiveUp, Input, LoadReport, Options, OrderId, Output, RunOrder, SiblingMessage,
    desk::Desk,
    jobs::{Candidates, Jobs, Placed},
    siblings::Siblings,
};

/// How far the orders of a coordinator were taken and dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TakenOrders {
    highest: OrderId,
    dropped: OrderId,
}

/// The decisions of an entry, without input or output.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    own: EntryInfo,
    options: Options,
    desk: Desk,
    jobs: Jobs,
    siblings: Siblings,
    reported: LoadReport,
    reported_at: Instant,
    /// When the last input was taken.
    handled_at: Instant,
    /// Orders of each coordinator that were taken, and that were dropped.
    orders_of: BTreeMap<InstanceId, TakenOrders>,
}

impl Dispatcher {
    /// Creates the decisions of the entry `own`.
    pub fn new(own: EntryInfo, options: Options) -> Self {
        Self {
            own,
            desk: Desk::new(options.clone()),
            jobs: Jobs::new(options.clone()),
            siblings: Siblings::default(),
            options,
            reported: LoadReport::default(),
            reported_at: Instant(0),
            handled_at: Instant(0),
            orders_of: BTreeMap::new(),
        }
    }

    /// Takes one input and adds what has to be done to `outputs`.
    pub fn handle(&mut self, now: Instant, input: Input, outputs: &mut Vec<Output>) {
        self.wake(now, outputs);
        match input {
            Input::Tick => self.tick(now, outputs),
            Input::Submit(request) => {
                let key = request.key.clone();
                let mut candidates = self.candidates(now);
                if self.jobs.submit(now, request, &candidates, outputs) {
                    self.place(now, &key, &mut candidates, outputs);
                }
            }
            Input::Abandon(job) => self.jobs.abandon(now, &job, outputs),
            Input::Cancel(job) => self.jobs.cancel(now, &job, outputs),
            Input::ViewChanged { entries, owned } => {
                let silence = self.options.sibling_timeout;
                for gone in self.siblings.update(now, &self.own.id, entries, silence) {
                    self.lose(now, &gone, outputs);
                }
                self.desk.grant(now, &owned, outputs);
            }
            Input::TargetReported(report) => self.desk.report(report, outputs),
            Input::MessageReceived { from, message } => self.message(now, &from, message, outputs),
            Input::LinkLost { sibling } => self.lose(now, &sibling, outputs),
            Input::SessionOpened { sibling, dropped } => {
                self.desk.drop_coordinator(now, &sibling, outputs);
                self.jobs.owner_lost(&sibling, dropped, self.ended_by(now));
            }
            Input::StartAnswered { call, answer } => self.desk.started(now, call, answer, outputs),
            Input::StopAnswered { call, answer } => self.desk.stopped(now, call, answer, outputs),
            Input::PollAnswered { call, answer } => self.desk.polled(now, call, answer, outputs),
            Input::Leave { time_left } => {
                self.own.is_leaving = true;
                self.jobs.leave(now + time_left);
                self.desk.leave();
            }
        }
        self.settle(now, outputs);
    }

    /// Returns whether no job, run or order is left.
    pub fn is_idle(&self) -> bool {
        self.jobs.len() == 0 && self.desk.is_idle()
    }

    /// Returns the targets that are given back to control.
    pub fn releasable_targets(&self) -> Vec<(TargetId, FencingToken)> {
        self.desk.released()
    }

    /// Returns the owned targets that have not answered for long.
    pub fn unreachable_targets(&self, now: Instant) -> Vec<(TargetId, FencingToken)> {
        self.desk.missing(now)
    }

    /// Takes the reports of targets that control has to hear of.
    pub fn take_reports(&mut self) -> Vec<TargetReport> {
        self.desk.take_reports()
    }

    /// Returns the siblings that were heard a short time ago, with their lives.
    pub fn live_siblings(&self, now: Instant) -> Vec<(InstanceId, Incarnation)> {
        self.siblings.heard(now, &self.options)
    }

    /// Returns the last order of a coordinator that this entry has dropped, for the session that it opens there.
    pub fn last_dropped_order(&self, coordinator: &InstanceId) -> OrderId {
        self.orders_of
            .get(coordinator)
            .copied()
            .unwrap_or_default()
            .dropped
    }

    /// Returns the siblings that messages are exchanged with.
    pub fn siblings(&self) -> Vec<EntryInfo> {
        self.siblings.iter().map(|sibling| sibling.info.clone()).collect()
    }

    /// Returns the number of jobs that wait for their first start.
    pub fn unstarted_job_count(&self) -> usize {
        self.jobs.unstarted()
    }

    /// Returns the number of jobs.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of runs at own targets.
    pub fn run_count(&self) -> usize {
        self.desk.runs()
    }

    /// Returns the number of orders that wait for room at own targets.
    pub fn waiting_order_count(&self) -> usize {
        self.desk.waiting()
    }

    /// Returns the number of owned targets.
    pub fn owned_target_count(&self) -> usize {
        self.desk.targets()
    }

    /// Gives up what became uncertain while the process stood still: siblings have counted this entry as lost, and callers
    /// may have turned to another one.
    fn wake(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let handled_at = std::mem::replace(&mut self.handled_at, now);
        let silence = self.options.sibling_timeout;
        if handled_at == Instant(0) || now.since(handled_at) < silence {
            return;
        }
        for silent in self.siblings.expire(now, &self.options) {
            self.lose(now, &silent, outputs);
        }
        self.desk.drop_coordinator(now, &self.own.id, outputs);
        self.jobs.give_up_all(now, GiveUp::Standstill, outputs);
    }

    fn tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        for silent in self.siblings.expire(now, &self.options) {
            self.lose(now, &silent, outputs);
        }
        self.jobs.expire(now, outputs);
        self.jobs.expire_lost(now, outputs);
        self.desk.tick(now, outputs);
        self.report_load(now, outputs);
    }

    fn message(
        &mut self,
        now: Instant,
        from: &InstanceId,
        message: SiblingMessage,
        outputs: &mut Vec<Output>,
    ) {
        let lag = self.options.report_lag;
        if let Some(sibling) = self.siblings.get_mut(from) {
            if sibling.heard.is_none() {
                note_sibling(outputs, from, "heard");
            }
            sibling.heard = Some(now);
        }
        match message {
            SiblingMessage::Load(load) => {
                if let Some(sibling) = self.siblings.get_mut(from) {
                    sibling.take_load(now, load, lag);
                }
            }
            SiblingMessage::Run(orders) => {
                for order in orders {
                    self.note_order(from, order.id);
                    self.desk.order(now, from.clone(), order, outputs);
                }
            }
            SiblingMessage::Cancel(order_ids) => {
                for order_id in order_ids {
                    self.desk.cancel(now, from, order_id, outputs);
                }
            }
            SiblingMessage::Begun(order_ids) => self.jobs.begun(&order_ids),
            SiblingMessage::Ended {
                order_id,
                end,
                target,
            } => {
                self.jobs.ended(now, order_id, end, target, outputs);
            }
        }
    }

    /// Treats a sibling as lost: its orders are stopped, and own orders there end with the leases.
    fn lose(&mut self, now: Instant, sibling: &InstanceId, outputs: &mut Vec<Output>) {
        note_sibling(outputs, sibling, "lost");
        if let Some(known) = self.siblings.get_mut(sibling) {
            known.heard = None;
            known.load = LoadReport::default();
        }
        self.desk.drop_coordinator(now, sibling, outputs);
        if let Some(order_ids) = self.orders_of.get_mut(sibling) {
            order_ids.dropped = order_ids.highest;
        }
        self.jobs
            .owner_lost(sibling, OrderId(u64::MAX), self.ended_by(now));
    }

    /// Returns by when the runs of an owner have ended that is not heard, or has not heard this entry, from now on.
    fn ended_by(&self, now: Instant) -> Instant {
        now + self.options.sibling_timeout + self.lease_bound()
    }

    /// Notes the highest order of a coordinator.
    fn note_order(&mut self, coordinator: &InstanceId, order_id: OrderId) {
        let order_ids = self.orders_of.entry(coordinator.clone()).or_default();
        order_ids.highest = order_ids.highest.max(order_id);
    }

    /// Returns how long runs outlive an owner that does not extend their leases.
    fn lease_bound(&self) -> Duration {
        let slowest = 1000_u32.saturating_sub(self.options.max_drift_per_mille).max(1);
        self.options.lease * 1000 / slowest + self.options.lease_margin
    }

    /// Starts what has room, passes ends to their coordinators and orders what became ready.
    fn settle(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        loop {
            self.send_cancelled(now, outputs);
            self.desk.pump(now, outputs);
            self.pass_ends(now, outputs);
            let ready = self.jobs.ready(now);
            if ready.is_empty() {
                break;
            }
            let mut candidates = self.candidates(now);
            for key in ready {
                self.place(now, &key, &mut candidates, outputs);
            }
        }
        self.send_cancelled(now, outputs);
    }

    fn send_cancelled(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        for (owner, order_ids) in self.jobs.take_cancelled() {
            if owner != self.own.id {
                let message = SiblingMessage::Cancel(order_ids);
                outputs.push(Output::Send { to: owner, message });
                continue;
            }
            for order_id in order_ids {
                self.desk.cancel(now, &owner, order_id, outputs);
            }
        }
    }

    /// Tells coordinators what began and what ended.
    fn pass_ends(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        for (coordinator, order_ids) in self.desk.take_begun() {
            if coordinator == self.own.id {
                self.jobs.begun(&order_ids);
                continue;
            }
            let message = SiblingMessage::Begun(order_ids);
            outputs.push(Output::Send {
                to: coordinator,
                message,
            });
        }
        for ended in self.desk.take_ended() {
            let (order_id, end, target) = (ended.order_id, ended.end, ended.target);
            if ended.coordinator == self.own.id {
                self.jobs.ended(now, order_id, end, target, outputs);
                continue;
            }
            outputs.push(Output::Send {
                to: ended.coordinator,
                message: SiblingMessage::Ended {
                    order_id,
                    end,
                    target,
                },
            });
        }
    }

    fn place(&mut self, now: Instant, key: &JobKey, candidates: &mut Candidates, outputs: &mut Vec<Output>) {
        let mut remote: BTreeMap<InstanceId, Vec<RunOrder>> = BTreeMap::new();
        for Placed { owner, order } in self.jobs.place(now, key, candidates, outputs) {
            if owner == self.own.id {
                self.desk.order(now, owner, order, outputs);
                continue;
            }
            if let (Some(sibling), Some(target)) = (self.siblings.get_mut(&owner), &order.preferred_target) {
                sibling.reserve(now, target, order.needs);
            }
            remote.entry(owner).or_default().push(order);
        }
        for (to, orders) in remote {
            let message = SiblingMessage::Run(orders);
            outputs.push(Output::Send { to, message });
        }
    }

    fn candidates(&self, now: Instant) -> Candidates {
        let mut candidates = Candidates::default();
        candidates.add(&self.own.id, true, self.desk.load(now));
        for sibling in self.siblings.live(now, &self.options) {
            let is_near = sibling.info.data_centre == self.own.data_centre;
            candidates.add(&sibling.info.id, is_near, sibling.load.clone());
        }
        candidates
    }

    /// Tells siblings of the load. Two entries without targets have nothing to tell each other.
    fn report_load(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if now.since(self.reported_at) < self.options.min_report_interval {
            return;
        }
        self.reported_at = now;
        let load = self.desk.load(now);
        let is_changed = load != self.reported;
        self.reported = load;
        for sibling in self.siblings.iter_mut() {
            sibling.is_outdated |= is_changed;
            let is_concerned = !self.reported.targets.is_empty() || !sibling.load.targets.is_empty();
            let is_near = sibling.info.data_centre == self.own.data_centre;
            if !is_concerned || !sibling.is_report_due(now, is_near, &self.options) {
                continue;
            }
            sibling.is_outdated = false;
            sibling.reported_at = now;
            outputs.push(Output::Send {
                to: sibling.info.id.clone(),
                message: SiblingMessage::Load(self.reported.clone()),
            });
        }
    }
}

fn note_sibling(outputs: &mut Vec<Output>, sibling: &InstanceId, state: &'static str) {
    outputs.push(Output::Decision(Decision::SiblingChanged {
        sibling: sibling.clone(),
        state,
    }));
}
