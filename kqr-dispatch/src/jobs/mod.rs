//! The coordinator role: jobs of callers, and the orders placed for their tasks.

mod admission;
mod excess_load;
mod job;
mod orders;
mod rebalance;
mod retry_delay;
mod run_times;
mod step;
mod take_back;
mod task;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kqr_types::{InstanceId, Instant, JobKey};

use crate::{
    Decision, GiveUp, JobEnd, JobRequest, Options, OrderId, Output, RefusalCause,
    expected_wait::ExpectedWait, owners::Owners, target_losses::TargetLosses,
};
pub(crate) use admission::Admission;
use excess_load::TimeLimits;
use job::{Job, estimated_duration, max_link_time, set_missing_estimates};
use orders::OpenOrder;
pub(crate) use orders::Placement;
pub(crate) use rebalance::FreePlace;
use retry_delay::{RefusedJobs, retry_delay};
use run_times::RunTimes;

/// Factor by which a job may exceed its estimate on a slow target; decides whether it can complete before the
/// entry shuts down.
const LEAVING_RUN_TIME_FACTOR: u32 = 3;

/// The jobs that this entry coordinates.
#[derive(Clone, Debug)]
pub(crate) struct Jobs {
    options: Options,
    live: BTreeMap<JobKey, Job>,
    /// Jobs with tasks to be ordered, by the time from which on the next one may be.
    ready: BTreeSet<(Instant, JobKey)>,
    orders: BTreeMap<OrderId, OpenOrder>,
    last_order_id: OrderId,
    /// Number of tasks, steps and dependencies of the jobs.
    size: u64,
    /// Orders to be cancelled, by owner.
    cancelled: BTreeMap<InstanceId, Vec<OrderId>>,
    /// Waiting orders to be taken back, by owner.
    taken_back: BTreeMap<InstanceId, Vec<OrderId>>,
    /// When all jobs are given up, if the entry is shutting down.
    leave_deadline: Option<Instant>,
    /// When the tasks of new jobs may be placed.
    held_until: Instant,
    run_times: RunTimes,
    refused: RefusedJobs,
}

impl Jobs {
    /// Creates an empty set of jobs, whose orders have identifiers above `last_order_id`.
    pub(crate) fn new(options: Options, last_order_id: OrderId) -> Self {
        Self {
            options,
            live: BTreeMap::new(),
            ready: BTreeSet::new(),
            orders: BTreeMap::new(),
            last_order_id,
            size: 0,
            cancelled: BTreeMap::new(),
            taken_back: BTreeMap::new(),
            leave_deadline: None,
            held_until: Instant(0),
            run_times: RunTimes::default(),
            refused: RefusedJobs::default(),
        }
    }

    /// Returns the number of jobs.
    pub(crate) fn len(&self) -> usize {
        self.live.len()
    }

    /// Returns whether a job is in progress.
    pub(crate) fn is_live(&self, key: &JobKey) -> bool {
        self.live.contains_key(key)
    }

    /// Returns the number of jobs without any order.
    pub(crate) fn unstarted_count(&self) -> usize {
        self.live.values().filter(|job| job.orders == 0).count()
    }

    /// Takes the orders to be cancelled, by owner.
    pub(crate) fn take_cancelled(&mut self) -> BTreeMap<InstanceId, Vec<OrderId>> {
        std::mem::take(&mut self.cancelled)
    }

    /// Refuses a job that exceeds a limit. Returns whether it does.
    pub(crate) fn refuse_oversized(&self, request: &JobRequest, outputs: &mut Vec<Output>) -> bool {
        let Err(part) = self.options.job_limits.check(request) else {
            return false;
        };
        let job = request.key.clone();
        outputs.push(Output::Decision(Decision::JobOversized {
            job: job.clone(),
            part,
        }));
        refuse(outputs, job, RefusalCause::TooLarge, Duration::ZERO);
        true
    }

    /// Admits or refuses a job that is not live and within the limits. Returns whether its tasks are to be placed. A job that no known target can run is admitted
    /// while a survey of the owners is pending.
    pub(crate) fn submit(
        &mut self,
        now: Instant,
        mut request: JobRequest,
        owners: &Owners,
        admission: Admission,
        losses: &TargetLosses,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let (job, tasks) = (request.key.clone(), request.task_count());
        if !request.has_ordered_steps() {
            refuse(outputs, job, RefusalCause::InvalidSteps, Duration::ZERO);
            return false;
        }
        if losses.max_count(&job) >= self.options.max_target_losses {
            let end = JobEnd::Failed;
            log_job_end(outputs, &job, &end, 0, 0);
            outputs.push(Output::JobEnded { job, end });
            return false;
        }
        if tasks == 0 {
            let end = JobEnd::Completed;
            outputs.push(Output::JobEnded { job, end });
            return false;
        }
        set_missing_estimates(&mut request, &self.options);
        let stated: Vec<Duration> = request.steps.iter().map(|step| step.estimate).collect();
        let mut wait = owners.expected_wait(&request);
        if !wait.total().is_zero() && self.options.learns_run_times {
            self.correct_estimates(&mut request);
            wait = owners.expected_wait(&request);
        }
        let wait_ms = wait.total().as_millis() as u64;
        let is_impossible = !admission.is_survey_pending && owners.is_impossible(&request);
        if let Some(cause) = self.refusal_cause(now, &request, wait, is_impossible) {
            if cause == RefusalCause::Overload {
                self.refused.record(now, &job);
            }
            refuse(outputs, job, cause, wait.drain());
            return false;
        }
        let link_time = admission.link_time;
        if !link_time.is_zero() && link_time > max_link_time(&request, &self.options) {
            refuse(outputs, job, RefusalCause::LinkBusy, link_time);
            return false;
        }
        outputs.push(Output::Decision(Decision::JobAdmitted {
            job: job.clone(),
            tasks,
            wait_ms,
            time_left_ms: request.time_left.as_millis() as u64,
        }));
        self.size += request.size();
        let place_from = now.max(self.held_until);
        let mut admitted = Job::new(now, place_from, request, &self.options);
        admitted.stated_estimates = stated;
        admitted.expected_wait = wait;
        admitted.is_returning = self.refused.contains(now, &job);
        self.live.insert(job.clone(), admitted);
        self.update_ready(&job);
        true
    }

    /// Updates the index of jobs with tasks to be ordered after a change of a job.
    fn update_ready(&mut self, key: &JobKey) {
        let Some(job) = self.live.get_mut(key) else {
            return;
        };
        let next = job.next_ready();
        let before = std::mem::replace(&mut job.indexed_at, next);
        if before == next {
            return;
        }
        if let Some(before) = before {
            self.ready.remove(&(before, key.clone()));
        }
        if let Some(next) = next {
            self.ready.insert((next, key.clone()));
        }
    }

    /// Returns the jobs with tasks that may be ordered at `now`.
    fn ready_at(&self, now: Instant) -> impl Iterator<Item = (&JobKey, &Job)> {
        let ready = self.ready.iter().take_while(move |(from, _)| *from <= now);
        ready.filter_map(|(_, key)| self.live.get_key_value(key))
    }

    /// Returns the estimated size of the orders that may be placed now.
    pub(crate) fn held_bytes(&self, now: Instant) -> u64 {
        let ready = self.ready_at(now);
        ready.map(|(_, job)| job.request.order_bytes(u64::MAX)).sum()
    }

    /// Returns the payload of a job.
    pub(crate) fn spec_of(&self, key: &JobKey) -> Option<Arc<str>> {
        self.live.get(key).map(|job| Arc::clone(&job.request.spec))
    }

    /// Refuses the jobs without any order that no known target can run, after a survey of the owners.
    pub(crate) fn refuse_impossible(&mut self, now: Instant, owners: &Owners, outputs: &mut Vec<Output>) {
        let mut impossible = Vec::new();
        for (key, job) in &self.live {
            if job.orders == 0 && owners.is_impossible(&job.request) {
                impossible.push(key.clone());
            }
        }
        for key in impossible {
            let end = JobEnd::Refused {
                cause: RefusalCause::NoTarget,
                retry_after: retry_delay(&key, Duration::ZERO),
            };
            self.finish(now, &key, end, outputs);
        }
    }

    /// Places the tasks of new jobs no earlier than at `until`.
    pub(crate) fn hold_new_jobs(&mut self, until: Instant) {
        self.held_until = self.held_until.max(until);
    }

    /// Drops a job whose caller disconnected.
    pub(crate) fn abandon(&mut self, now: Instant, key: &JobKey, outputs: &mut Vec<Output>) {
        if let Some(job) = self.remove(key) {
            outputs.push(Output::Decision(Decision::JobAbandoned {
                job: key.clone(),
                after_ms: now.since(job.arrived).as_millis() as u64,
            }));
        }
    }

    /// Gives up a job that its caller cancels.
    pub(crate) fn cancel(&mut self, now: Instant, key: &JobKey, outputs: &mut Vec<Output>) {
        self.finish(now, key, JobEnd::GivenUp(GiveUp::Cancelled), outputs);
    }

    /// Gives up all jobs.
    pub(crate) fn give_up_all(&mut self, now: Instant, cause: GiveUp, outputs: &mut Vec<Output>) {
        let jobs: Vec<JobKey> = self.live.keys().cloned().collect();
        for job in jobs {
            self.finish(now, &job, JobEnd::GivenUp(cause), outputs);
        }
    }

    /// Refuses new jobs that can't complete before `leave_deadline`, and gives up all remaining jobs at that
    /// time.
    pub(crate) const fn start_leaving(&mut self, leave_deadline: Instant) {
        self.leave_deadline = Some(leave_deadline);
    }

    /// Ends the jobs whose deadline has passed.
    pub(crate) fn expire_jobs(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.leave_deadline.is_some_and(|deadline| deadline <= now) {
            self.give_up_all(now, GiveUp::Leaving, outputs);
        }
        let mut late = Vec::new();
        for (key, job) in &self.live {
            if job.give_up_at <= now || (job.deadline <= now && !job.has_begun && !job.is_ending) {
                late.push(key.clone());
            }
        }
        for key in late {
            self.give_up(now, &key, outputs);
        }
    }

    /// Ends a job whose deadline has passed. If none of its runs is known to have begun, its orders are
    /// cancelled first, so that it can be refused as not run.
    fn give_up(&mut self, now: Instant, key: &JobKey, outputs: &mut Vec<Output>) {
        let Some(job) = self.live.get_mut(key) else {
            return;
        };
        let is_uncertain = !job.has_begun && !job.is_certainly_not_run();
        if is_uncertain && !job.is_ending {
            job.is_ending = true;
            for order_id in job.open_order_ids() {
                if let Some(order) = self.orders.get(&order_id) {
                    self.cancelled
                        .entry(order.owner.clone())
                        .or_default()
                        .push(order_id);
                }
            }
            self.update_ready(key);
            return;
        }
        if is_uncertain && now < job.give_up_at {
            return;
        }
        let end = if job.is_certainly_not_run() {
            self.refused.record(now, key);
            JobEnd::Refused {
                cause: RefusalCause::Expired,
                retry_after: retry_delay(key, job.expected_wait.drain()),
            }
        } else {
            JobEnd::GivenUp(GiveUp::Deadline)
        };
        self.finish(now, key, end, outputs);
    }

    fn finish(&mut self, now: Instant, key: &JobKey, end: JobEnd, outputs: &mut Vec<Output>) {
        let Some(job) = self.remove(key) else { return };
        let after_ms = now.since(job.arrived).as_millis() as u64;
        log_job_end(outputs, key, &end, after_ms, job.orders);
        outputs.push(Output::JobEnded {
            job: key.clone(),
            end,
        });
    }

    /// Removes a job and cancels its open orders.
    fn remove(&mut self, key: &JobKey) -> Option<Job> {
        let job = self.live.remove(key)?;
        if let Some(at) = job.indexed_at {
            self.ready.remove(&(at, key.clone()));
        }
        self.size -= job.request.size();
        for order_id in job.open_order_ids() {
            if let Some(order) = self.orders.remove(&order_id) {
                self.cancelled.entry(order.owner).or_default().push(order_id);
            }
        }
        Some(job)
    }

    /// Corrects the estimates of the caller by the run times of the same kind of work.
    fn correct_estimates(&self, request: &mut JobRequest) {
        for step in &mut request.steps {
            step.estimate = self
                .run_times
                .expected(&request.service, request.priority, step.estimate);
        }
    }

    fn refusal_cause(
        &self,
        now: Instant,
        request: &JobRequest,
        wait: ExpectedWait,
        is_impossible: bool,
    ) -> Option<RefusalCause> {
        let needed = estimated_duration(request) * LEAVING_RUN_TIME_FACTOR;
        if self
            .leave_deadline
            .is_some_and(|deadline| now + needed > deadline)
        {
            return Some(RefusalCause::Leaving);
        }
        if is_impossible {
            return Some(RefusalCause::NoTarget);
        }
        if request.time_left.is_zero() {
            return Some(RefusalCause::Expired);
        }
        if self.size + request.size() > self.options.max_size {
            return Some(RefusalCause::TooManyTasks);
        }
        let limits = TimeLimits::of(request);
        let is_excess = limits.is_excess(self.options.load_shedding, wait, request.time_left);
        is_excess.then_some(RefusalCause::Overload)
    }
}

/// Refuses a job that was not admitted. `drain` is the time in which the queue drains.
fn refuse(outputs: &mut Vec<Output>, job: JobKey, cause: RefusalCause, drain: Duration) {
    let end = JobEnd::Refused {
        cause,
        retry_after: retry_delay(&job, drain),
    };
    log_job_end(outputs, &job, &end, 0, 0);
    outputs.push(Output::JobEnded { job, end });
}

fn log_job_end(outputs: &mut Vec<Output>, job: &JobKey, end: &JobEnd, after_ms: u64, orders: u64) {
    outputs.push(Output::Decision(Decision::JobEnded {
        job: job.clone(),
        end: end.clone(),
        after_ms,
        orders,
    }));
}
