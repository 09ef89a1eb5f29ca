mod link;
mod loads;
mod orders;
mod traffic;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kqr_fleet::{EntryInfo, FencingToken, TargetReport};
use kqr_types::{Incarnation, InstanceId, Instant, TargetId};

use crate::{
    Decision, GiveUp, Input, JobRequest, Link, LinkUsage, Options, OrderId, Output, RunOrder, SiblingMessage,
    contact::Contact,
    jobs::{Admission, Jobs},
    own_load::OwnLoad,
    owned::OwnedTargets,
    owners::Owners,
    received_orders::ReceivedOrders,
    siblings::Siblings,
    survey::Survey,
    target_losses::TargetLosses,
};

/// Longest time between checks of the siblings' timeouts, above the interval of ticks. Together with the timeout it is part
/// of the time in which a lost coordinator's runs end.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// State machine with the scheduling decisions of an entry.
///
/// It performs no I/O: [`Dispatcher::handle`] takes inputs and returns the actions to perform.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    own: EntryInfo,
    options: Options,
    owned: OwnedTargets,
    jobs: Jobs,
    siblings: Siblings,
    owners: Owners,
    own_load: OwnLoad,
    /// Number of the list of own targets that orders were last placed with.
    placed_list: u64,
    /// Number of the list of own targets that was last reported.
    reported_list: u64,
    /// Owners of the own data centre, including this entry.
    near_owners: BTreeSet<InstanceId>,
    survey: Survey,
    /// Number of siblings that exchange loads with this entry.
    related_siblings: usize,
    /// Whether siblings were added since they were last assigned.
    are_siblings_changed: bool,
    /// When the last input was handled, if there was one.
    last_input_at: Option<Instant>,
    /// When the timeouts of the siblings were last checked.
    siblings_checked_at: Instant,
    contact: Contact,
    /// Received and dropped orders by coordinator.
    received_orders: BTreeMap<InstanceId, ReceivedOrders>,
    losses: TargetLosses,
    link: Link,
    usage: LinkUsage,
    /// Bytes since the last log line.
    recent_usage: LinkUsage,
    usage_logged_at: Option<Instant>,
}

impl Dispatcher {
    /// Creates the dispatcher of the entry `own`.
    pub fn new(own: EntryInfo, options: Options) -> Self {
        let last_order_id = OrderId::before(own.incarnation);
        Self {
            owners: Owners::new(&own.id, &options),
            own,
            owned: OwnedTargets::new(options.clone()),
            jobs: Jobs::new(options.clone(), last_order_id),
            siblings: Siblings::default(),
            link: Link::new(options.link_rate),
            options,
            own_load: OwnLoad::default(),
            placed_list: 0,
            reported_list: 0,
            near_owners: BTreeSet::new(),
            survey: Survey::default(),
            related_siblings: 0,
            are_siblings_changed: false,
            last_input_at: None,
            siblings_checked_at: Instant(0),
            contact: Contact::default(),
            received_orders: BTreeMap::new(),
            losses: TargetLosses::default(),
            usage: LinkUsage::default(),
            recent_usage: LinkUsage::default(),
            usage_logged_at: None,
        }
    }

    /// Handles one input and appends the resulting actions to `outputs`.
    pub fn handle(&mut self, now: Instant, input: Input, outputs: &mut Vec<Output>) {
        let before = outputs.len();
        self.record_input(now, &input);
        self.pace(now);
        if input == Input::Tick || now.since(self.siblings_checked_at) >= MAX_CHECK_INTERVAL {
            self.expire_siblings(now, outputs);
        }
        self.give_up_after_standstill(now, outputs);
        self.contact.record(now, &input);
        match input {
            Input::Tick => self.tick(now, outputs),
            Input::Submit(request) => self.submit(now, request, outputs),
            Input::Abandon(job) => self.jobs.abandon(now, &job, outputs),
            Input::Cancel(job) => self.jobs.cancel(now, &job, outputs),
            Input::ViewChanged { entries, owned } => {
                let timeout = self.options.sibling_timeout;
                for gone in self.siblings.update(now, &self.own.id, entries, timeout) {
                    self.handle_sibling_loss(now, now, &gone, outputs);
                }
                self.are_siblings_changed = true;
                self.owned.update_grants(now, &owned, outputs);
            }
            Input::TargetReported(report) => self.owned.handle_report(report, outputs),
            Input::MessageReceived {
                from,
                sent_at,
                message,
            } => self.handle_message(now, &from, sent_at.min(now), message, outputs),
            Input::LinkLost { sibling } => self.handle_sibling_loss(now, now, &sibling, outputs),
            Input::SessionOpened { sibling, dropped } => {
                self.forget_sent_load(&sibling);
                self.owned.drop_orders_of(now, now, &sibling, outputs);
                let ended_by = self.latest_run_end(now);
                self.jobs.handle_dropped_orders(&sibling, dropped, ended_by);
            }
            Input::StartAnswered { call, answer } => {
                self.owned.handle_start_answer(now, call, answer, outputs);
            }
            Input::StopAnswered { call, answer } => self.owned.handle_stop_answer(now, call, answer, outputs),
            Input::PollAnswered { call, answer } => self.owned.handle_poll_answer(now, call, answer, outputs),
            Input::Leave { time_left } => {
                self.own.is_leaving = true;
                self.jobs.start_leaving(now + time_left);
                self.owned.start_leaving();
            }
        }
        self.process_ready(now, outputs);
        self.record_outputs(now, outputs.get(before..).unwrap_or_default());
    }

    /// Returns whether there are no jobs, runs or waiting orders.
    pub fn is_idle(&self) -> bool {
        self.jobs.len() == 0 && self.owned.is_idle()
    }

    /// Returns the idle targets that are to be released to control.
    pub fn releasable_targets(&self) -> Vec<(TargetId, FencingToken)> {
        self.owned.releasable()
    }

    /// Returns the owned targets that have not answered for [`Options::unreachable_after`], or whose incarnation control takes
    /// for an earlier one.
    pub fn unreachable_targets(&self, now: Instant) -> Vec<(TargetId, FencingToken)> {
        self.owned.unreachable(now)
    }

    /// Takes the target reports to be forwarded to control.
    pub fn take_reports(&mut self) -> Vec<TargetReport> {
        self.owned.take_reports()
    }

    /// Returns the identities and incarnations of the live siblings.
    pub fn live_siblings(&self, now: Instant) -> Vec<(InstanceId, Incarnation)> {
        self.siblings.live_ids(now, &self.options)
    }

    /// Returns the last dropped order of a coordinator, to be sent when a session with it is opened.
    pub fn last_dropped_order(&self, coordinator: &InstanceId) -> OrderId {
        let received = self.received_orders.get(coordinator);
        received.copied().unwrap_or_default().last_dropped()
    }

    /// Returns the known siblings.
    pub fn siblings(&self) -> Vec<EntryInfo> {
        self.siblings.iter().map(|sibling| sibling.info.clone()).collect()
    }

    /// Returns the number of jobs without any order.
    pub fn unstarted_job_count(&self) -> usize {
        self.jobs.unstarted_count()
    }

    /// Returns the number of coordinated jobs.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of runs on owned targets.
    pub fn run_count(&self) -> usize {
        self.owned.run_count()
    }

    /// Returns the number of orders that wait for capacity on owned targets.
    pub fn waiting_order_count(&self) -> usize {
        self.owned.waiting_count()
    }

    /// Returns the number of owned targets.
    pub fn owned_target_count(&self) -> usize {
        self.owned.target_count()
    }

    /// Gives up all jobs if the process was suspended for longer than the sibling timeout: siblings have
    /// counted this entry as lost by then, and callers may have submitted their jobs to another entry. Jobs read
    /// shortly afterwards may be of such callers too, so they are held.
    fn give_up_after_standstill(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let last_input_at = self.last_input_at.replace(now);
        let timeout = self.options.sibling_timeout;
        if last_input_at.is_none_or(|at| now.since(at) < timeout) {
            return;
        }
        self.owned.drop_orders_of(now, now, &self.own.id, outputs);
        self.jobs.give_up_all(now, GiveUp::Standstill, outputs);
        self.jobs.hold_new_jobs(now + self.options.standstill_hold);
    }

    /// Counts siblings as lost whose timeout has passed. After a standstill this comes before the first input, so that no
    /// lease is extended for a sibling that is already lost.
    fn expire_siblings(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.siblings_checked_at = now;
        for (lost, expired_at) in self.siblings.expire(now, &self.options) {
            self.handle_sibling_loss(now, expired_at, &lost, outputs);
        }
    }

    fn tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.contact.is_lost(now, &self.options) {
            self.jobs.give_up_all(now, GiveUp::Isolated, outputs);
        }
        self.jobs.expire_jobs(now, outputs);
        self.jobs.expire_lost_orders(now, &mut self.losses, outputs);
        self.losses.expire(now);
        if self.survey.take_end(now) {
            self.jobs.refuse_impossible(now, &self.owners, outputs);
        }
        self.owned.tick(now, outputs);
        self.rebalance(now, outputs);
        self.report_load(now, outputs);
        self.log_usage(now, outputs);
    }

    /// Admits a job and places its tasks, or refuses it.
    fn submit(&mut self, now: Instant, mut request: JobRequest, outputs: &mut Vec<Output>) {
        let key = request.key.clone();
        // A caller that submits a live job again waits for its end, whatever the second request says.
        if self.jobs.is_live(&key) || self.jobs.refuse_oversized(&request, outputs) {
            return;
        }
        request.drop_impossible_racks();
        self.refresh_own_load(now);
        let admission = Admission {
            is_survey_pending: self.survey_owners(now, &request, outputs),
            link_time: self.expected_link_time(now, &request),
        };
        if self
            .jobs
            .submit(now, request, &self.owners, admission, &self.losses, outputs)
        {
            self.place_tasks(now, &key, outputs);
        }
    }

    fn handle_message(
        &mut self,
        now: Instant,
        from: &InstanceId,
        sent_at: Instant,
        message: SiblingMessage,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(sibling) = self.siblings.get_mut(from) {
            if sibling.last_sent_at.is_none() {
                log_sibling_change(outputs, from, "heard");
            }
            sibling.last_sent_at = sibling.last_sent_at.max(Some(sent_at));
        }
        match message {
            SiblingMessage::Load(update) => self.apply_load(from, update, outputs),
            SiblingMessage::LoadRequest => self.accept_load_request(now, from),
            SiblingMessage::Run { spec, orders } => {
                self.accept_orders(now, sent_at, from, &spec, orders, outputs);
            }
            SiblingMessage::Cancel(order_ids) => {
                for order_id in order_ids {
                    self.owned.cancel_order(now, sent_at, from, order_id, outputs);
                }
            }
            SiblingMessage::TakeBack(order_ids) => {
                for order_id in order_ids {
                    self.owned.give_back_order(from, order_id);
                }
            }
            SiblingMessage::Begun(order_ids) => self.record_begun(&order_ids, outputs),
            SiblingMessage::JobBegun(order_ids) => self.owned.mark_orders_begun(from, &order_ids),
            SiblingMessage::Ended {
                order_id,
                end,
                target,
                run_time,
            } => {
                self.jobs.record_run_time(order_id, run_time);
                self.end_order(now, order_id, end, target, outputs);
            }
            SiblingMessage::TargetsLost(runs) => {
                for lost in runs {
                    self.losses.record(now, lost);
                }
            }
        }
    }

    /// Marks a sibling as lost: its runs are stopped, for which the time began at `since`, and orders sent to it end when
    /// their leases have expired.
    ///
    /// The sibling may not have noticed the loss and may be heard again at any time. It drops the orders sent
    /// to it when the link is used next, because that opens a new session, or when it no longer hears this
    /// entry.
    fn handle_sibling_loss(
        &mut self,
        now: Instant,
        since: Instant,
        sibling: &InstanceId,
        outputs: &mut Vec<Output>,
    ) {
        log_sibling_change(outputs, sibling, "lost");
        outputs.push(Output::ResetLink {
            sibling: sibling.clone(),
        });
        if let Some(known) = self.siblings.get_mut(sibling) {
            known.last_sent_at = None;
            known.sent_load = None;
        }
        self.owners.remove(sibling);
        self.owned.drop_orders_of(now, since, sibling, outputs);
        if let Some(received) = self.received_orders.get_mut(sibling) {
            received.drop_all();
        }
        let ended_by = self.latest_run_end(now);
        self.jobs.handle_owner_loss(sibling, ended_by);
    }

    /// Returns the time by which the runs of an owner have ended if, from now on, no message passes between
    /// it and this entry.
    fn latest_run_end(&self, now: Instant) -> Instant {
        let options = &self.options;
        now + options.sibling_timeout + options.max_unconfirmed_stop + options.max_lease_duration()
    }

    /// Accepts the orders that a coordinator sent at `sent_at`. Those of an entry that control does not list are dropped: its
    /// silence would not be noticed.
    fn accept_orders(
        &mut self,
        now: Instant,
        sent_at: Instant,
        from: &InstanceId,
        spec: &Arc<str>,
        orders: Vec<RunOrder>,
        outputs: &mut Vec<Output>,
    ) {
        let received = self.received_orders.entry(from.clone()).or_default();
        received.record(&orders);
        if self.siblings.get_mut(from).is_none() {
            received.drop_all();
            return;
        }
        for order in orders {
            self.owned
                .accept_order(now, sent_at, from.clone(), Arc::clone(spec), order, outputs);
        }
    }
}

fn log_sibling_change(outputs: &mut Vec<Output>, sibling: &InstanceId, state: &'static str) {
    outputs.push(Output::Decision(Decision::SiblingChanged {
        sibling: sibling.clone(),
        state,
    }));
}
