use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kqr_jobs::{NotAccepted, Outcome, RefusalReason, Submission, TaskSpec, WaitingTask};
use kqr_placement::{PickFailure, Quarantine, QuarantineChange, QuarantineOptions, Table, Target};
use kqr_types::{Instant, JobKey, KeyDigest, ServiceName, TaskIndex, TeamName};

use crate::{
    AttemptResult, EndedAttempt, Options, Output, Quota, Quotas,
    long_work::LongWorkTracker,
    pick::pick,
    service_queue::{Candidate, ServiceQueue},
    task_shape::{QueuePosition, QueuedTask, TaskShape},
    team_queue::BlockedShapes,
};

/// Queue of the tasks that wait for slots at this instance, with admission control for new jobs.
#[derive(Debug)]
pub struct AdmissionQueue {
    options: Options,
    quotas: Quotas,
    quarantine: Quarantine,
    long_work: LongWorkTracker,
    services: BTreeMap<ServiceName, ServiceQueue>,
    positions: BTreeMap<JobKey, Vec<QueuePosition>>,
    next_number: u64,
}

impl AdmissionQueue {
    /// Fraction of the run time at speed 1 that must remain before the deadline for a task to be started.
    const MIN_TIME_LEFT_FRACTION: f64 = 0.125;

    /// Creates an empty queue.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            quotas: Quotas::default(),
            quarantine: Quarantine::new(QuarantineOptions::default()),
            long_work: LongWorkTracker::default(),
            services: BTreeMap::new(),
            positions: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Sets the share of a team's quota that this instance may admit, or removes the quota.
    pub fn set_quota(&mut self, now: Instant, team: &TeamName, quota: Option<Quota>) {
        self.quotas.set(now, team, quota);
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> usize {
        self.services.values().map(|queue| queue.waiting as usize).sum()
    }

    /// Returns whether no task is waiting.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of waiting tasks of a service.
    pub fn waiting_tasks(&self, service: &ServiceName) -> u32 {
        self.services.get(service).map_or(0, |queue| queue.waiting)
    }

    /// Decides whether a new job is accepted as a whole. No task of the job may have been started before.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if the wait is too long or no target accepts work.
    pub fn admit(&mut self, now: Instant, table: &Table, job: &Submission) -> Result<(), NotAccepted> {
        let capacity = table.capacity(&job.service, self.options.kind);
        if capacity <= 0.0 {
            let detail = format!("no target of service {} accepts work", job.service);
            let reason = if table.serves(&job.service) {
                RefusalReason::Overloaded
            } else {
                RefusalReason::NoSuitableTarget
            };
            return Err(refusal(reason, Duration::from_secs(1), detail));
        }
        let count = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        let is_within_quota = !self.quotas.has_quota(&job.team) || self.quotas.take(now, &job.team, count);
        let is_long_class = |spec: &TaskSpec| table.classes().is_long(&job.service, &spec.class);
        let is_long = job.tasks.iter().any(is_long_class);
        let wait = self.expected_wait(table, job, is_long, capacity);
        let allowed = self.allowed_wait(table, job, is_long, is_within_quota);
        let end = wait + self.expected_run(table, job, capacity);
        if wait <= allowed && end <= job.deadline {
            return Ok(());
        }
        if is_within_quota {
            self.quotas.refund(&job.team, count);
        }
        Err(self.overload_refusal(job, count, wait, allowed, is_within_quota))
    }

    /// Adds tasks of an accepted job, or tasks that their target did not start.
    pub fn push(&mut self, now: Instant, table: &Table, tasks: Vec<WaitingTask>) {
        for task in tasks {
            let is_long = table.classes().is_long(&task.service, &task.spec.class);
            let shape = TaskShape::of(&task, is_long);
            let work = self.run_time(table, &task.service, &task.spec).as_secs_f64();
            let number = self.next_number;
            self.next_number += 1;
            let pos = QueuePosition {
                service: task.service.clone(),
                team: task.team.clone(),
                shape: shape.clone(),
                number,
            };
            self.positions.entry(task.key.clone()).or_default().push(pos);
            let queue = self.services.entry(task.service.clone()).or_default();
            let team = task.team.clone();
            let queued = now;
            queue.push(&team, shape, number, QueuedTask { task, queued, work });
        }
    }

    /// Removes the waiting tasks of jobs, for example of cancelled ones.
    pub fn withdraw<'a, I>(&mut self, keys: I)
    where
        I: IntoIterator<Item = &'a JobKey>,
    {
        for key in keys {
            for pos in self.positions.remove(key).unwrap_or_default() {
                if let Some(queue) = self.services.get_mut(&pos.service) {
                    queue.remove(&pos.team, &pos.shape, pos.number);
                }
            }
        }
        self.services.retain(|_, queue| queue.waiting > 0);
    }

    /// Places waiting tasks until no suitable slot is free.
    pub fn dispatch(&mut self, now: Instant, table: &Table, outputs: &mut Vec<Output>) {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in names {
            self.dispatch_service(now, table, &service, outputs);
        }
        self.services.retain(|_, queue| queue.waiting > 0);
    }

    /// Removes up to `count` tasks that have waited for at least [`Options::forward_delay`], so that a
    /// sibling with free slots can place them.
    pub fn take_forwardable_tasks(
        &mut self,
        now: Instant,
        service: &ServiceName,
        count: usize,
    ) -> Vec<WaitingTask> {
        let mut tasks = Vec::new();
        while tasks.len() < count {
            let Some(queue) = self.services.get_mut(service) else {
                break;
            };
            let Some(candidate) = queue.next(&BlockedShapes::default(), &self.quotas) else {
                break;
            };
            if now.since(candidate.item.queued) < self.options.forward_delay {
                break;
            }
            queue.charge(&candidate.team, candidate.item.work);
            tasks.extend(self.remove(service, &candidate));
        }
        tasks
    }

    /// Releases the slot of an ended attempt, records its run time and quarantines targets that keep failing.
    pub fn end_attempt(&mut self, now: Instant, table: &Table, ended: &EndedAttempt) {
        self.long_work.record_ended(table, &ended.key, ended.task);
        table.release_slot(&ended.target);
        if let (AttemptResult::Completed, Some(run_time)) = (ended.result, ended.run_time) {
            table.record_run_time(&ended.service, &ended.class, &ended.target, run_time);
        }
        if ended.result == AttemptResult::Unknown {
            return;
        }
        let is_completed = ended.result == AttemptResult::Completed;
        let job = KeyDigest::of(&ended.key);
        let targets = table.len();
        let change = self
            .quarantine
            .record_attempt(now, &ended.target, job, is_completed, targets);
        apply_slot_caps(table, change.as_slice());
    }

    /// Releases the slot of a placed task that was not started after all.
    pub fn release_unused_slot(
        &mut self,
        table: &Table,
        key: &JobKey,
        task: TaskIndex,
        target: &kqr_types::TargetId,
    ) {
        self.long_work.record_ended(table, key, task);
        table.release_slot(target);
    }

    /// Lifts the quarantine of a target that is gone or has restarted.
    pub fn remove_target(&mut self, table: &Table, target: &kqr_types::TargetId) {
        self.quarantine.remove_target(target);
        if let Some(target) = table.get_or_retired(target) {
            target.set_cap(u32::MAX);
        }
    }

    /// Returns the targets that are quarantined or probed.
    pub fn quarantined_targets(&self) -> Vec<kqr_types::TargetId> {
        self.quarantine.restricted_targets()
    }

    /// Refuses tasks that can no longer meet their deadline, detects long work and ends quarantines.
    pub fn tick(&mut self, now: Instant, table: &Table, outputs: &mut Vec<Output>) {
        apply_slot_caps(table, &self.quarantine.tick(now));
        self.refuse_overdue_tasks(now, outputs);
        let services = &self.services;
        let is_waiting = |service: &ServiceName| services.contains_key(service);
        self.long_work.tick(now, table, is_waiting, outputs);
    }

    /// Returns the expected wait of the first task of a new job.
    fn expected_wait(&self, table: &Table, job: &Submission, is_long: bool, capacity: f64) -> Duration {
        let Some(queue) = self.services.get(&job.service) else {
            return Duration::ZERO;
        };
        if !is_long && table.free_slots(&job.service, self.options.kind) > queue.waiting {
            return Duration::ZERO;
        }
        let part = if is_long { Target::LONG_SLOT_FRACTION } else { 1.0 };
        let work = queue.work_before(&job.team, is_long, &self.quotas);
        Duration::from_secs_f64(work / (capacity * part))
    }

    /// Returns the maximum expected wait of an accepted job. Long work may wait a fraction of its run time.
    fn allowed_wait(
        &self,
        table: &Table,
        job: &Submission,
        is_long: bool,
        is_within_quota: bool,
    ) -> Duration {
        if !is_within_quota {
            return self.options.max_over_quota_wait;
        }
        let by_deadline = job.deadline.mul_f64(self.options.max_wait_deadline_fraction);
        let allowed = self.options.max_queue_wait.max(by_deadline);
        if !is_long {
            return allowed;
        }
        let longest = self.longest_run_time(table, job);
        allowed.max(longest.mul_f64(self.options.max_long_wait_fraction))
    }

    fn longest_run_time(&self, table: &Table, job: &Submission) -> Duration {
        let run_times = job
            .tasks
            .iter()
            .map(|spec| self.run_time(table, &job.service, spec));
        run_times.max().unwrap_or_default()
    }

    /// Returns the expected time from the first start to the end of a job if it may use the whole `capacity`.
    fn expected_run(&self, table: &Table, job: &Submission, capacity: f64) -> Duration {
        let mut work = 0.0;
        for spec in &job.tasks {
            work += self.run_time(table, &job.service, spec).as_secs_f64();
        }
        let longest = self.longest_run_time(table, job);
        longest.max(Duration::from_secs_f64(work / capacity))
    }

    fn run_time(&self, table: &Table, service: &ServiceName, spec: &TaskSpec) -> Duration {
        let learned = table.classes().mean_run_time(service, &spec.class);
        learned.or(spec.run_time).unwrap_or(self.options.default_run_time)
    }

    fn overload_refusal(
        &self,
        job: &Submission,
        count: u32,
        wait: Duration,
        allowed: Duration,
        is_within_quota: bool,
    ) -> NotAccepted {
        let mut retry_after = wait.saturating_sub(allowed).max(self.options.min_retry_after);
        let mut reason = RefusalReason::Overloaded;
        if !is_within_quota {
            reason = RefusalReason::QuotaExceeded;
            retry_after = retry_after.max(self.quotas.time_until(&job.team, count));
        }
        let detail = format!(
            "the expected wait is {} ms with a limit of {} ms, and the deadline is {} ms",
            wait.as_millis(),
            allowed.as_millis(),
            job.deadline.as_millis()
        );
        refusal(reason, retry_after, detail)
    }

    fn dispatch_service(
        &mut self,
        now: Instant,
        table: &Table,
        service: &ServiceName,
        outputs: &mut Vec<Output>,
    ) {
        let mut blocked = BlockedShapes::default();
        loop {
            let Some(queue) = self.services.get_mut(service) else {
                return;
            };
            let Some(candidate) = queue.next(&blocked, &self.quotas) else {
                return;
            };
            let waiting = queue.waiting;
            let picked = pick(now, table, &self.options, service, &candidate, waiting);
            match picked {
                Ok(target) => {
                    queue.charge(&candidate.team, candidate.item.work);
                    let is_long = candidate.shape.size.is_long;
                    if let Some(task) = self.remove(service, &candidate) {
                        self.long_work
                            .record_placed(now, &task.key, task.task, service, &target, is_long);
                        outputs.push(Output::Placed(task, target));
                    }
                }
                Err(failure) if failure.is_temporary() => block_shape(&mut blocked, candidate.shape, failure),
                Err(failure) => {
                    if let Some(task) = self.remove(service, &candidate) {
                        outputs.push(Output::Unplaceable(task, failure));
                    }
                }
            }
        }
    }

    fn refuse_overdue_tasks(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let mut overdue: BTreeSet<JobKey> = BTreeSet::new();
        for queue in self.services.values() {
            for (_, _, _, item) in queue.iter() {
                let left = item.task.deadline.since(now).as_secs_f64();
                if left < item.work * Self::MIN_TIME_LEFT_FRACTION || left <= 0.0 {
                    overdue.insert(item.task.key.clone());
                }
            }
        }
        for key in &overdue {
            for pos in self.positions.remove(key).unwrap_or_default() {
                let queue = self.services.get_mut(&pos.service);
                let item = queue.and_then(|queue| queue.remove(&pos.team, &pos.shape, pos.number));
                let Some(item) = item else { continue };
                let detail = "the task can no longer meet its deadline".to_owned();
                let refusal = refusal(RefusalReason::Overloaded, self.options.min_retry_after, detail);
                outputs.push(Output::Refused(item.task, refusal));
            }
        }
        self.services.retain(|_, queue| queue.waiting > 0);
    }

    fn remove(&mut self, service: &ServiceName, candidate: &Candidate) -> Option<WaitingTask> {
        let queue = self.services.get_mut(service)?;
        let item = queue.remove(&candidate.team, &candidate.shape, candidate.number)?;
        if let Some(positions) = self.positions.get_mut(&item.task.key) {
            positions.retain(|pos| pos.number != candidate.number);
            if positions.is_empty() {
                self.positions.remove(&item.task.key);
            }
        }
        Some(item.task)
    }
}

fn block_shape(blocked: &mut BlockedShapes, shape: TaskShape, failure: PickFailure) {
    if failure == PickFailure::AllBusy && shape.retried_job.is_none() {
        blocked.sizes.insert(shape.size);
    } else {
        blocked.shapes.insert(shape);
    }
}

fn apply_slot_caps(table: &Table, changes: &[QuarantineChange]) {
    for change in changes {
        if let Some(target) = table.get_or_retired(change.target()) {
            target.set_cap(change.slot_cap());
        }
    }
}

fn refusal(reason: RefusalReason, retry_after: Duration, detail: String) -> NotAccepted {
    NotAccepted {
        reason,
        outcome: Outcome::NotRun,
        retry_after: Some(retry_after),
        detail,
    }
}
