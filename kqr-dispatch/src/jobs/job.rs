use std::time::Duration;

use kqr_types::Instant;

use super::task::{Task, TaskState};
use crate::{JobRequest, Options, OrderId};

/// Multiple of the on-time response time after which an answer is of no use.
const USEFUL_TIME_FACTOR: u32 = 3;
/// Factor by which a run may exceed the estimate of its caller.
const ESTIMATE_ERROR_FACTOR: f64 = 1.5;

/// Largest multiple of the ideal response time that counts as on time.
const MAX_SLACK_FACTOR: f64 = 1000.0;

/// A job that this entry coordinates.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Job {
    pub(super) request: JobRequest,
    pub(super) arrived: Instant,
    /// When the job is refused if none of its runs has begun.
    pub(super) deadline: Instant,
    /// When the job is given up in any case.
    pub(super) give_up_at: Instant,
    /// Whether the job is over and only waits for the ends of its cancelled orders.
    pub(super) is_ending: bool,
    /// Tasks by step.
    pub(super) steps: Vec<Vec<Task>>,
    /// Number of orders placed.
    pub(super) orders: u64,
    /// Whether a run may have begun.
    pub(super) has_begun: bool,
}

impl Job {
    /// Creates a job that arrived at `now`, whose tasks may be placed from `place_from` on.
    pub(super) fn new(now: Instant, place_from: Instant, mut request: JobRequest, options: &Options) -> Self {
        let mut steps = Vec::new();
        for step in &mut request.steps {
            if step.estimate.is_zero() {
                step.estimate = options.default_estimate;
            }
            steps.push(vec![Task::new(place_from); step.count as usize]);
        }
        Self {
            arrived: now,
            deadline: now + request.time_left.min(max_useful_time(&request)),
            give_up_at: now + request.time_left.max(max_useful_time(&request)),
            is_ending: false,
            steps,
            orders: 0,
            has_begun: false,
            request,
        }
    }

    /// Returns whether no task was started and no order is open.
    pub(super) fn is_certainly_not_run(&self) -> bool {
        !self.has_begun && self.open_order_ids().is_empty()
    }

    pub(super) fn is_complete(&self) -> bool {
        (0..self.steps.len()).all(|step| self.is_step_complete(step))
    }

    /// Returns whether all dependencies of `step` are complete.
    pub(super) fn is_step_due(&self, step: usize) -> bool {
        let depends_on = self.request.steps.get(step).map(|spec| &spec.depends_on);
        depends_on.is_some_and(|steps| steps.iter().all(|step| self.is_step_complete(*step as usize)))
    }

    /// Returns the identifiers of the orders that have not ended.
    pub(super) fn open_order_ids(&self) -> Vec<OrderId> {
        let mut order_ids = Vec::new();
        for task in self.steps.iter().flatten() {
            if let TaskState::Ordered(order_id) = task.state {
                order_ids.push(order_id);
            }
        }
        order_ids
    }

    pub(super) fn task_mut(&mut self, step: u32, index: u32) -> Option<&mut Task> {
        self.steps.get_mut(step as usize)?.get_mut(index as usize)
    }

    /// Returns the time left until the end of a task counts as late, if it takes `estimate` on a target of
    /// normal speed.
    pub(super) fn on_time_left(&self, now: Instant, estimate: Duration) -> Duration {
        let slack = estimate.mul_f64(slack_factor(&self.request));
        (self.arrived + slack + self.request.objective).since(now)
    }

    fn is_step_complete(&self, step: usize) -> bool {
        let tasks = self.steps.get(step);
        tasks.is_some_and(|tasks| tasks.iter().all(|task| task.state == TaskState::Done))
    }
}

/// Returns the time after the arrival of a job beyond which its result is of no use, with a margin for wrong
/// estimates.
fn max_useful_time(request: &JobRequest) -> Duration {
    let slack = slack_factor(request) * ESTIMATE_ERROR_FACTOR;
    (estimated_duration(request).mul_f64(slack) + request.objective) * USEFUL_TIME_FACTOR
}

/// Returns the slack factor within the range in which durations can be multiplied by it.
const fn slack_factor(request: &JobRequest) -> f64 {
    request.slack_factor.clamp(0.0, MAX_SLACK_FACTOR)
}

/// Returns the estimated run time of all steps in sequence.
pub(super) fn estimated_duration(request: &JobRequest) -> Duration {
    request.steps.iter().map(|step| step.estimate).sum()
}
