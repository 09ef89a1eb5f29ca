//! Orders for the tasks of a job: placing them and handling their ends.

use std::{collections::BTreeMap, time::Duration};

use kqr_types::{InstanceId, Instant, JobKey, TargetId};

use super::{Jobs, job::Job, task::TaskState};
use crate::{
    Decision, JobEnd, LostRun, NotRun, OrderId, Output, RunEnd, RunId, RunOrder, TaskId,
    owners::{Owners, StepSearch},
    target_losses::TargetLosses,
};

/// Delay before a task whose order did not run is ordered again, which lets newer load reports arrive.
const REORDER_DELAY: Duration = Duration::from_millis(20);
/// Factor on the attempt number after a target has refused it as superseded.
const ATTEMPT_FACTOR: u32 = 2;

/// An order that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OpenOrder {
    pub(super) owner: InstanceId,
    pub(super) job: JobKey,
    pub(super) step: u32,
    pub(super) index: u32,
    pub(super) placed_at: Instant,
    /// Whether the owner has sent the start to a target.
    pub(super) has_begun: bool,
    /// When the owner was asked to give the order back if it still waits.
    pub(super) taken_back_at: Option<Instant>,
    /// When the run has certainly ended, if contact with its owner was lost.
    pub(super) ends_by: Option<Instant>,
}

/// An order and the owner to send it to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Placement {
    pub(crate) owner: InstanceId,
    pub(crate) order: RunOrder,
}

impl Jobs {
    /// Returns the jobs with tasks that may be ordered now, sorted by priority and arrival.
    pub(crate) fn ready_jobs(&self, now: Instant) -> Vec<JobKey> {
        let mut ready = Vec::new();
        for (key, job) in self.ready_at(now) {
            ready.push((job.request.priority, job.arrived, key));
        }
        ready.sort_unstable();
        ready.into_iter().map(|(.., key)| key.clone()).collect()
    }

    /// Places orders for the tasks of a job that may be ordered now. Those without an order are ready again later.
    pub(crate) fn place(
        &mut self,
        now: Instant,
        key: &JobKey,
        owners: &mut Owners,
        losses: &TargetLosses,
        outputs: &mut Vec<Output>,
    ) -> Vec<Placement> {
        let mut placed = Vec::new();
        let Some(job) = self.live.get_mut(key) else {
            return placed;
        };
        let ready = job.ready_tasks(now);
        let slowness = owners.usual_slowness(&job.request.service);
        let mut search = StepSearch::default();
        for (step, index) in ready {
            let order_id = OrderId(self.last_order_id.0 + 1);
            let order = new_order(now, job, order_id, step, index, losses, slowness);
            let picked = order.and_then(|order| Some((owners.pick_owner(&order, &mut search)?, order)));
            let Some(((owner, preferred_target), order)) = picked else {
                clear_avoided_targets(now, job, step, index);
                continue;
            };
            self.last_order_id = order_id;
            let order = RunOrder {
                preferred_target,
                ..order
            };
            record_order(job, step, index, &owner, &order, outputs);
            let open = OpenOrder {
                owner: owner.clone(),
                job: key.clone(),
                step,
                index,
                placed_at: now,
                has_begun: false,
                taken_back_at: None,
                ends_by: None,
            };
            self.orders.insert(order_id, open);
            placed.push(Placement { owner, order });
        }
        self.update_ready(key);
        placed
    }

    /// Records orders whose start was sent to a target. Returns the other orders of jobs that had to wait and have begun
    /// with it, by owner.
    pub(crate) fn handle_begun(&mut self, order_ids: &[OrderId]) -> BTreeMap<InstanceId, Vec<OrderId>> {
        let mut waiting: BTreeMap<InstanceId, Vec<OrderId>> = BTreeMap::new();
        for order_id in order_ids {
            if let Some(order) = self.orders.get_mut(order_id) {
                order.has_begun = true;
            }
        }
        for order_id in order_ids {
            let Some(order) = self.orders.get(order_id) else {
                continue;
            };
            let Some(job) = self.live.get_mut(&order.job) else {
                continue;
            };
            let had_begun = std::mem::replace(&mut job.has_begun, true);
            if had_begun || job.expected_wait.total().is_zero() {
                continue;
            }
            for other in job.open_order_ids() {
                let order = self.orders.get(&other).filter(|order| !order.has_begun);
                if let Some(order) = order {
                    waiting.entry(order.owner.clone()).or_default().push(other);
                }
            }
        }
        waiting
    }

    /// Records the run time of a completed order on a target of normal speed.
    pub(crate) fn record_run_time(&mut self, order_id: OrderId, run_time: Option<Duration>) {
        let (Some(order), Some(run_time)) = (self.orders.get(&order_id), run_time) else {
            return;
        };
        let Some(job) = self.live.get(&order.job) else {
            return;
        };
        let stated = job.stated_estimate(order.step as usize);
        self.run_times
            .record(&job.request.service, job.request.priority, run_time, stated);
    }

    /// Handles the end of an order.
    pub(crate) fn handle_ended(
        &mut self,
        now: Instant,
        order_id: OrderId,
        end: RunEnd,
        target: Option<TargetId>,
        losses: &mut TargetLosses,
        outputs: &mut Vec<Output>,
    ) {
        let Some(order) = self.orders.remove(&order_id) else {
            return;
        };
        let key = order.job;
        let Some(job) = self.live.get_mut(&key) else {
            return;
        };
        job.has_begun |= !matches!(end, RunEnd::NotRun(_));
        let (max_attempts, is_ending) = (job.request.max_attempts, job.is_ending);
        let is_continued = job.has_begun && now < job.give_up_at;
        job.set_task_state(order.step, order.index, TaskState::Ready(now));
        let Some(task) = job.task_mut(order.step, order.index) else {
            return;
        };
        if end != RunEnd::Done {
            let run = run_id(&key, order.step, order.index, task.attempt);
            task.avoided_targets.extend(target.clone());
            outputs.push(Output::Decision(Decision::OrderEnded {
                run,
                end,
                target: target.clone(),
            }));
        }
        if is_ending {
            self.give_up(now, &key, outputs);
            return;
        }
        match end {
            RunEnd::Done => job.complete_task(order.step, order.index),
            RunEnd::Failed => {
                task.failures += 1;
                if task.failures >= max_attempts {
                    self.finish(now, &key, JobEnd::Failed, outputs);
                    return;
                }
            }
            RunEnd::Lost => {}
            RunEnd::TargetLost(life) => {
                let run = run_id(&key, order.step, order.index, task.attempt);
                let task = run.task.clone();
                if let Some(target) = target {
                    losses.record(now, LostRun { run, target, life });
                }
                if losses.count(&task) >= self.options.max_target_losses {
                    self.finish(now, &key, JobEnd::Failed, outputs);
                    return;
                }
            }
            RunEnd::NotRun(NotRun::Superseded) => task.attempt = task.attempt.saturating_mul(ATTEMPT_FACTOR),
            // Another task has begun since the order was placed, so the job is continued.
            RunEnd::NotRun(NotRun::Expired) if is_continued => {
                job.set_task_state(order.step, order.index, TaskState::Ready(now + REORDER_DELAY));
            }
            RunEnd::NotRun(NotRun::Expired) => {
                self.give_up(now, &key, outputs);
                return;
            }
            RunEnd::NotRun(NotRun::Cancelled) if order.taken_back_at.is_some() => {}
            RunEnd::NotRun(_) => {
                job.set_task_state(order.step, order.index, TaskState::Ready(now + REORDER_DELAY));
            }
        }
        if self.live.get(&key).is_some_and(Job::is_complete) {
            self.finish(now, &key, JobEnd::Completed, outputs);
        }
        self.update_ready(&key);
    }

    /// Records the loss of an owner: the runs of its orders have ended by `ended_by`.
    pub(crate) fn handle_owner_loss(&mut self, owner: &InstanceId, ended_by: Instant) {
        self.handle_dropped_orders(owner, self.last_order_id, ended_by);
    }

    /// Records that an owner has dropped its orders up to `last`: their runs have ended by `ended_by`. An
    /// identifier that was not placed yet is of an earlier incarnation of this entry, whose clock was ahead.
    pub(crate) fn handle_dropped_orders(&mut self, owner: &InstanceId, last: OrderId, ended_by: Instant) {
        if last > self.last_order_id {
            return;
        }
        for (_, order) in self.orders.range_mut(..=last) {
            if order.owner == *owner && order.ends_by.is_none() {
                order.ends_by = Some(ended_by);
            }
        }
    }

    /// Ends the orders of lost owners whose runs have certainly ended.
    pub(crate) fn expire_lost_orders(
        &mut self,
        now: Instant,
        losses: &mut TargetLosses,
        outputs: &mut Vec<Output>,
    ) {
        let mut ended = Vec::new();
        for (&order_id, order) in &self.orders {
            if order.ends_by.is_some_and(|by| by <= now) {
                ended.push(order_id);
            }
        }
        for order_id in ended {
            self.handle_ended(now, order_id, RunEnd::Lost, None, losses, outputs);
        }
    }
}

fn run_id(job: &JobKey, step: u32, index: u32, attempt: u32) -> RunId {
    let task = TaskId {
        job: job.clone(),
        occurrence: 0,
        step,
        index,
    };
    RunId { task, attempt }
}

/// Returns the next order for a task.
pub(super) fn new_order(
    now: Instant,
    job: &Job,
    order_id: OrderId,
    step: u32,
    index: u32,
    losses: &TargetLosses,
    slowness: f32,
) -> Option<RunOrder> {
    let spec = job.request.steps.get(step as usize)?;
    let task = job.task(step, index)?;
    let run = run_id(&job.request.key, step, index, task.attempt.saturating_add(1));
    let step = step as usize;
    Some(RunOrder {
        id: order_id,
        target_losses: losses.count(&run.task),
        run,
        service: job.request.service.clone(),
        needs: spec.needs,
        estimate: spec.estimate,
        stated_estimate: job.stated_estimate(step),
        label: spec.label.clone(),
        data_rack: spec.data_rack.clone(),
        max_per_target: spec.max_per_target,
        priority: job.request.priority,
        time_left: job.start_deadline().since(now),
        on_time_left: job.on_time_left(now, spec.estimate),
        start_left: job.start_left(now, step, spec.estimate.mul_f32(slowness)),
        has_job_begun: job.has_begun,
        is_returning: job.is_returning,
        expected_wait: job.expected_wait.total(),
        preferred_target: None,
        avoided_targets: task.avoided_targets.clone(),
        failures: task.failures,
    })
}

/// Marks a task as ordered and logs the decision.
fn record_order(
    job: &mut Job,
    step: u32,
    index: u32,
    owner: &InstanceId,
    order: &RunOrder,
    outputs: &mut Vec<Output>,
) {
    job.orders += 1;
    if let Some(task) = job.task_mut(step, index) {
        task.attempt = order.run.attempt;
    }
    job.set_task_state(step, index, TaskState::Ordered(order.id));
    outputs.push(Output::Decision(Decision::TaskOrdered {
        run: order.run.clone(),
        owner: owner.clone(),
        preferred_target: order.preferred_target.clone(),
    }));
}

/// Clears the avoided targets of a task, because no other target is left, and delays its next order.
fn clear_avoided_targets(now: Instant, job: &mut Job, step: u32, index: u32) {
    if let Some(task) = job.task_mut(step, index) {
        task.avoided_targets.clear();
    }
    job.set_task_state(step, index, TaskState::Ready(now + REORDER_DELAY));
}
