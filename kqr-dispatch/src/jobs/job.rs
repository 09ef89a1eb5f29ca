use std::{collections::BTreeSet, time::Duration};

use kqr_types::Instant;

use super::{
    excess_load::max_first_wait,
    step::Step,
    task::{Task, TaskState},
};
use crate::{JobRequest, LoadShedding, Options, OrderId, expected_wait::ExpectedWait};

/// Multiple of the on-time response time after which an answer is of no use.
const USEFUL_TIME_FACTOR: u32 = 3;
/// Factor by which a run may exceed the estimate of its caller.
const ESTIMATE_ERROR_FACTOR: f64 = 1.5;

/// Largest multiple of the ideal response time that counts as on time.
const MAX_SLACK_FACTOR: f64 = 1000.0;

/// Least time that the messages of a job may take, whatever its estimate.
const MIN_LINK_TIME: Duration = Duration::from_millis(50);

/// A job that this entry coordinates.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Job {
    pub(super) request: JobRequest,
    pub(super) arrived: Instant,
    load_shedding: LoadShedding,
    /// Wait that was expected when the job was admitted.
    pub(super) expected_wait: ExpectedWait,
    /// Whether the job was refused a short time before.
    pub(super) is_returning: bool,
    /// When the job is refused if none of its runs has begun.
    pub(super) deadline: Instant,
    /// When the job is given up in any case.
    pub(super) give_up_at: Instant,
    /// Whether the job is over and only waits for the ends of its cancelled orders.
    pub(super) is_ending: bool,
    steps: Vec<Step>,
    /// Number of steps that are not complete.
    open_steps: usize,
    /// Number of orders that have not ended.
    open_orders: usize,
    /// Tasks of due steps without an order, with the time from which on they may be ordered, as step and index.
    ready: BTreeSet<(Instant, u32, u32)>,
    /// Time at which the job stands in the index of jobs with tasks to be ordered, if it does.
    pub(super) indexed_at: Option<Instant>,
    /// Run times by step that the caller estimated. Those of the request are corrected under load.
    pub(super) stated_estimates: Vec<Duration>,
    /// Time after the arrival until which the result is on time.
    on_time_limit: Duration,
    /// Estimated run times of the longest chains of steps that depend on each step.
    later_chains: Vec<Duration>,
    /// Number of orders placed.
    pub(super) orders: u64,
    /// Whether a run may have begun.
    pub(super) has_begun: bool,
}

impl Job {
    /// Creates a job that arrived at `now`, whose tasks may be placed from `place_from` on.
    pub(super) fn new(now: Instant, place_from: Instant, mut request: JobRequest, options: &Options) -> Self {
        set_missing_estimates(&mut request, options);
        let steps = create_steps(&request, place_from);
        let limit = request.time_left.min(max_useful_time(&request));
        let max_wait = max_first_wait(options.load_shedding, limit, longest_chain(&request));
        let mut job = Self {
            arrived: now,
            load_shedding: options.load_shedding,
            expected_wait: ExpectedWait::default(),
            is_returning: false,
            deadline: now + max_wait,
            give_up_at: now + request.time_left.max(max_useful_time(&request)),
            is_ending: false,
            open_steps: steps.iter().filter(|step| !step.is_complete()).count(),
            open_orders: 0,
            ready: BTreeSet::new(),
            indexed_at: None,
            steps,
            stated_estimates: request.steps.iter().map(|step| step.estimate).collect(),
            on_time_limit: on_time_limit(&request),
            later_chains: later_chains(&request),
            orders: 0,
            has_begun: false,
            request,
        };
        for number in 0..job.steps.len() {
            job.insert_ready_tasks(number);
        }
        job
    }

    /// Returns whether no task was started and no order is open.
    pub(super) const fn is_certainly_not_run(&self) -> bool {
        !self.has_begun && self.open_orders == 0
    }

    pub(super) const fn is_complete(&self) -> bool {
        self.open_steps == 0
    }

    /// Returns when the next task may be ordered, if any waits for that.
    pub(super) fn next_ready(&self) -> Option<Instant> {
        let next = self.ready.first().filter(|_| !self.is_ending);
        next.map(|(from, ..)| *from)
    }

    /// Returns the tasks that may be ordered at `now`, as pairs of step and index, in this order.
    pub(super) fn ready_tasks(&self, now: Instant) -> Vec<(u32, u32)> {
        let ready = self.ready.range(..=(now, u32::MAX, u32::MAX));
        let mut tasks: Vec<_> = ready.map(|(_, step, index)| (*step, *index)).collect();
        tasks.sort_unstable();
        tasks
    }

    pub(super) fn task(&self, step: u32, index: u32) -> Option<&Task> {
        self.steps.get(step as usize)?.tasks.get(index as usize)
    }

    /// Returns a task whose state is not to be changed, unlike the rest of it.
    pub(super) fn task_mut(&mut self, step: u32, index: u32) -> Option<&mut Task> {
        let step = self.steps.get_mut(step as usize)?;
        step.tasks.get_mut(index as usize)
    }

    /// Changes the state of a task that has not completed.
    pub(super) fn set_task_state(&mut self, step: u32, index: u32, state: TaskState) {
        let Some(tasks) = self.steps.get_mut(step as usize) else {
            return;
        };
        let is_due = tasks.is_due();
        let Some(task) = tasks.tasks.get_mut(index as usize) else {
            return;
        };
        match std::mem::replace(&mut task.state, state) {
            TaskState::Ready(from) => {
                self.ready.remove(&(from, step, index));
            }
            TaskState::Ordered(_) => self.open_orders -= 1,
            TaskState::Done => {}
        }
        match state {
            TaskState::Ready(from) if is_due => {
                self.ready.insert((from, step, index));
            }
            TaskState::Ordered(_) => self.open_orders += 1,
            TaskState::Ready(_) | TaskState::Done => {}
        }
    }

    /// Records that a task has completed. The tasks of a step may be ordered when all steps on which it depends are complete.
    pub(super) fn complete_task(&mut self, step: u32, index: u32) {
        let state = self.task(step, index).map(|task| task.state);
        if state.is_none_or(|state| state == TaskState::Done) {
            return;
        }
        self.set_task_state(step, index, TaskState::Done);
        let Some(completed) = self.steps.get_mut(step as usize) else {
            return;
        };
        completed.open_tasks -= 1;
        if !completed.is_complete() {
            return;
        }
        self.open_steps -= 1;
        for dependent in std::mem::take(&mut completed.dependents) {
            let number = dependent as usize;
            let Some(step) = self.steps.get_mut(number) else {
                continue;
            };
            step.open_dependencies -= 1;
            self.insert_ready_tasks(number);
        }
    }

    /// Adds the tasks without an order of a step to those that may be ordered, if the step is due.
    fn insert_ready_tasks(&mut self, number: usize) {
        let Some(step) = self.steps.get(number).filter(|step| step.is_due()) else {
            return;
        };
        for (index, task) in step.tasks.iter().enumerate() {
            if let TaskState::Ready(from) = task.state {
                self.ready.insert((from, number as u32, index as u32));
            }
        }
    }

    /// Returns when an order that is placed now must have begun. A job that has begun is continued until it is given up:
    /// its caller would submit it again, which costs more than its remaining tasks.
    pub(super) fn start_deadline(&self) -> Instant {
        let is_limited = !self.has_begun && self.load_shedding == LoadShedding::WhenUseless;
        if is_limited {
            self.deadline
        } else {
            self.give_up_at
        }
    }

    /// Returns the run time of the tasks of a step that the caller estimated.
    pub(super) fn stated_estimate(&self, step: usize) -> Duration {
        self.stated_estimates.get(step).copied().unwrap_or_default()
    }

    /// Returns the time left until the latest start with which a task of `step` is expected to end on time, and so the
    /// steps that depend on it, if it takes `run`.
    pub(super) fn start_left(&self, now: Instant, step: usize, run: Duration) -> Duration {
        let later = self.later_chains.get(step).copied().unwrap_or_default();
        let latest = self.on_time_limit.saturating_sub(later + run);
        (self.arrived + latest).since(now)
    }

    /// Returns the identifiers of the orders that have not ended.
    pub(super) fn open_order_ids(&self) -> Vec<OrderId> {
        let mut order_ids = Vec::new();
        for task in self.steps.iter().flat_map(|step| &step.tasks) {
            if let TaskState::Ordered(order_id) = task.state {
                order_ids.push(order_id);
            }
        }
        order_ids
    }

    /// Returns the time left until the end of a task counts as late, if it takes `estimate` on a target of
    /// normal speed.
    pub(super) fn on_time_left(&self, now: Instant, estimate: Duration) -> Duration {
        let slack = estimate.mul_f64(slack_factor(&self.request));
        (self.arrived + slack + self.request.objective).since(now)
    }
}

/// Creates the steps of a job, with their dependents. A dependency on a step without tasks is complete from the start.
fn create_steps(request: &JobRequest, place_from: Instant) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::with_capacity(request.steps.len());
    for (number, spec) in request.steps.iter().enumerate() {
        let mut step = Step::new(spec.count as usize, place_from);
        for earlier in &spec.depends_on {
            let Some(earlier) = steps.get_mut(*earlier as usize) else {
                continue;
            };
            if !earlier.is_complete() {
                earlier.dependents.push(number as u32);
                step.open_dependencies += 1;
            }
        }
        steps.push(step);
    }
    steps
}

/// Sets the estimates that the caller did not give.
pub(super) fn set_missing_estimates(request: &mut JobRequest, options: &Options) {
    for step in &mut request.steps {
        if step.estimate.is_zero() {
            step.estimate = options.default_estimate;
        }
    }
}

/// Returns the estimated run time of the longest chain of steps that depend on each other.
pub(super) fn longest_chain(request: &JobRequest) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(request.steps.len());
    for step in &request.steps {
        let earlier = step.depends_on.iter();
        let earlier = earlier.filter_map(|number| ends.get(*number as usize));
        let begin = earlier.max().copied().unwrap_or_default();
        let run = if step.count == 0 {
            Duration::ZERO
        } else {
            step.estimate
        };
        ends.push(begin.saturating_add(run));
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the estimated run times of the longest chains of steps that depend on each step.
fn later_chains(request: &JobRequest) -> Vec<Duration> {
    let mut later = vec![Duration::ZERO; request.steps.len()];
    for (number, step) in request.steps.iter().enumerate().rev() {
        let run = if step.count == 0 {
            Duration::ZERO
        } else {
            step.estimate
        };
        let chain = later.get(number).map_or(run, |later| later.saturating_add(run));
        for earlier in &step.depends_on {
            if let Some(later) = later.get_mut(*earlier as usize) {
                *later = chain.max(*later);
            }
        }
    }
    later
}

/// Returns the time after the arrival of a job until which its result is on time.
pub(super) fn on_time_limit(request: &JobRequest) -> Duration {
    longest_chain(request).mul_f64(slack_factor(request)) + request.objective
}

/// Returns the time after the arrival of a job until which its result is of some use, if its estimates are right.
pub(super) fn useful_limit(request: &JobRequest) -> Duration {
    on_time_limit(request) * USEFUL_TIME_FACTOR
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

/// Returns the time that the messages of a job may take so that its answer is on time.
pub(super) fn max_link_time(request: &JobRequest, options: &Options) -> Duration {
    let steps = request.steps.iter();
    let duration: Duration = steps
        .map(|step| {
            if step.estimate.is_zero() {
                options.default_estimate
            } else {
                step.estimate
            }
        })
        .sum();
    let on_time = duration.mul_f64(slack_factor(request)) + request.objective;
    on_time
        .min(request.time_left)
        .saturating_sub(duration)
        .max(MIN_LINK_TIME)
}
