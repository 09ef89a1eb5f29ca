use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kqr_jobs::{NotAccepted, Outcome, RefusalReason, Submission, TaskSpec, WaitingTask};
use kqr_placement::{PickFailure, Quarantine, QuarantineChange, QuarantineOptions, Table, Target};
use kqr_types::{Instant, JobKey, KeyDigest, ServiceName, TaskIndex, TeamName};

use crate::{
    AttemptResult, EndedAttempt, Options, Output, Quota, Quotas,
    lane::{Item, Lane, Place},
    long_work::LongWork,
    pick::pick,
    service_queue::{Candidate, ServiceQueue},
    team_queue::Blocked,
};

/// The tasks that wait for slots at this instance, and the decision which jobs may add to them.
#[derive(Debug)]
pub struct AdmissionQueue {
    options: Options,
    quotas: Quotas,
    quarantine: Quarantine,
    long_work: LongWork,
    services: BTreeMap<ServiceName, ServiceQueue>,
    places: BTreeMap<JobKey, Vec<Place>>,
    next_number: u64,
}

impl AdmissionQueue {
    /// Part of the expected run time at speed 1 that must be left before the deadline for a task to be started.
    const LEAST_TIME_LEFT: f64 = 0.125;

    /// Creates an empty queue.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            quotas: Quotas::default(),
            quarantine: Quarantine::new(QuarantineOptions::default()),
            long_work: LongWork::default(),
            services: BTreeMap::new(),
            places: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Sets the part of a team's quota that this instance may admit.
    pub fn set_quota(&mut self, now: Instant, team: &TeamName, quota: Option<Quota>) {
        self.quotas.set(now, team, quota);
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> usize {
        self.services.values().map(|queue| queue.waiting as usize).sum()
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the number of waiting tasks of a service.
    pub fn waiting_tasks(&self, service: &ServiceName) -> u32 {
        self.services.get(service).map_or(0, |queue| queue.waiting)
    }

    /// Decides whether a new job is accepted as a whole. Nothing of it was started before.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub fn admit(&mut self, now: Instant, table: &Table, job: &Submission) -> Result<(), NotAccepted> {
        let capacity = table.capacity(&job.service, self.options.kind);
        if capacity <= 0.0 {
            let detail = format!("no target of service {} takes work now", job.service);
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
        Err(self.overloaded(job, count, wait, allowed, is_within_quota))
    }

    /// Adds tasks of an accepted job, or tasks that were not started by their target.
    pub fn push(&mut self, now: Instant, table: &Table, tasks: Vec<WaitingTask>) {
        for task in tasks {
            let is_long = table.classes().is_long(&task.service, &task.spec.class);
            let lane = Lane::of(&task, is_long);
            let work = self.run_time(table, &task.service, &task.spec).as_secs_f64();
            let number = self.next_number;
            self.next_number += 1;
            let place = Place {
                service: task.service.clone(),
                team: task.team.clone(),
                lane: lane.clone(),
                number,
            };
            self.places.entry(task.key.clone()).or_default().push(place);
            let queue = self.services.entry(task.service.clone()).or_default();
            let team = task.team.clone();
            let pushed = now;
            queue.push(&team, lane, number, Item { task, pushed, work });
        }
    }

    /// Removes the waiting tasks of jobs, such as a wave of cancelled ones.
    pub fn withdraw<'a, I>(&mut self, keys: I)
    where
        I: IntoIterator<Item = &'a JobKey>,
    {
        for key in keys {
            for place in self.places.remove(key).unwrap_or_default() {
                if let Some(queue) = self.services.get_mut(&place.service) {
                    queue.remove(&place.team, &place.lane, place.number);
                }
            }
        }
        self.services.retain(|_, queue| queue.waiting > 0);
    }

    /// Places as many tasks as there are suitable free slots.
    pub fn dispatch(&mut self, now: Instant, table: &Table, outputs: &mut Vec<Output>) {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in names {
            self.dispatch_service(now, table, &service, outputs);
        }
        self.services.retain(|_, queue| queue.waiting > 0);
    }

    /// Takes up to `count` tasks that have found no slot here for [`Options::forward_delay`], so that a sibling with free
    /// slots can place them.
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
            let Some(candidate) = queue.next(&Blocked::default(), &self.quotas) else {
                break;
            };
            if now.since(candidate.item.pushed) < self.options.forward_delay {
                break;
            }
            queue.charge(&candidate.team, candidate.item.work);
            tasks.extend(self.remove(service, &candidate));
        }
        tasks
    }

    /// Takes in the end of a placed task: gives its slot back, learns, and blames targets that fail everything.
    pub fn end_attempt(&mut self, now: Instant, table: &Table, ended: &EndedAttempt) {
        self.long_work.ended(table, &ended.key, ended.task);
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
        apply(table, change.as_slice());
    }

    /// Gives back the slot of a placed task that was not started after all.
    pub fn release_unused_slot(
        &mut self,
        table: &Table,
        key: &JobKey,
        task: TaskIndex,
        target: &kqr_types::TargetId,
    ) {
        self.long_work.ended(table, key, task);
        table.release_slot(target);
    }

    /// Takes in that a target is gone or has started a new life.
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

    /// Refuses tasks that can't meet their deadline any more, looks for long work, and ends quarantines.
    pub fn tick(&mut self, now: Instant, table: &Table, outputs: &mut Vec<Output>) {
        apply(table, &self.quarantine.tick(now));
        self.refuse_late(now, outputs);
        let services = &self.services;
        let is_waiting = |service: &ServiceName| services.contains_key(service);
        self.long_work.tick(now, table, is_waiting, outputs);
    }

    /// Returns the time that the first task of a new job is expected to wait.
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

    /// Returns the longest expected wait with which a job is accepted. Long work may wait a part of its run time.
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

    /// Returns the time from the first start to the end of a job that has the capacity for itself.
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

    fn overloaded(
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
            "the expected wait is {} ms, at most {} ms are allowed and the deadline is {} ms",
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
        let mut blocked = Blocked::default();
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
                    let is_long = candidate.lane.size.is_long;
                    if let Some(task) = self.remove(service, &candidate) {
                        self.long_work
                            .placed(now, &task.key, task.task, service, &target, is_long);
                        outputs.push(Output::Placed(task, target));
                    }
                }
                Err(failure) if failure.is_temporary() => block(&mut blocked, candidate.lane, failure),
                Err(failure) => {
                    if let Some(task) = self.remove(service, &candidate) {
                        outputs.push(Output::Unplaceable(task, failure));
                    }
                }
            }
        }
    }

    fn refuse_late(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let mut late: BTreeSet<JobKey> = BTreeSet::new();
        for queue in self.services.values() {
            for (_, _, _, item) in queue.iter() {
                let left = item.task.deadline.since(now).as_secs_f64();
                if left < item.work * Self::LEAST_TIME_LEFT || left <= 0.0 {
                    late.insert(item.task.key.clone());
                }
            }
        }
        for key in &late {
            for place in self.places.remove(key).unwrap_or_default() {
                let queue = self.services.get_mut(&place.service);
                let item = queue.and_then(|queue| queue.remove(&place.team, &place.lane, place.number));
                let Some(item) = item else { continue };
                let detail = "the deadline can't be met any more".to_owned();
                let refusal = refusal(RefusalReason::Overloaded, self.options.min_retry_after, detail);
                outputs.push(Output::Refused(item.task, refusal));
            }
        }
        self.services.retain(|_, queue| queue.waiting > 0);
    }

    fn remove(&mut self, service: &ServiceName, candidate: &Candidate) -> Option<WaitingTask> {
        let queue = self.services.get_mut(service)?;
        let item = queue.remove(&candidate.team, &candidate.lane, candidate.number)?;
        if let Some(places) = self.places.get_mut(&item.task.key) {
            places.retain(|place| place.number != candidate.number);
            if places.is_empty() {
                self.places.remove(&item.task.key);
            }
        }
        Some(item.task)
    }
}

fn block(blocked: &mut Blocked, lane: Lane, failure: PickFailure) {
    if failure == PickFailure::AllBusy && lane.tried.is_none() {
        blocked.sizes.insert(lane.size);
    } else {
        blocked.lanes.insert(lane);
    }
}

fn apply(table: &Table, changes: &[QuarantineChange]) {
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
