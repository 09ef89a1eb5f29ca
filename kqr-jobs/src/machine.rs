use std::collections::{BTreeMap, VecDeque};

use kqr_types::{AttemptId, Instant, JobKey, TargetId, TaskIndex};

use crate::{
    CallerId, Input, NotAccepted, Options, Outcome, Output, RefusalReason, StartTask, Submit, TaskEnd,
    TaskResult, job::Job, task::Phase,
};

/// The jobs homed at one shard of an instance.
#[derive(Debug)]
pub struct Machine {
    options: Options,
    jobs: BTreeMap<JobKey, Job>,
    ended: VecDeque<JobKey>,
}

impl Machine {
    /// Creates a machine without jobs.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            jobs: BTreeMap::new(),
            ended: VecDeque::new(),
        }
    }

    /// Returns the number of jobs that have not ended.
    pub fn live_jobs(&self) -> usize {
        self.jobs.len() - self.ended.len()
    }

    /// Returns whether a job with `key` is known.
    pub fn knows(&self, key: &JobKey) -> bool {
        self.jobs.contains_key(key)
    }

    /// Returns the number of ended jobs that are remembered.
    pub fn remembered_jobs(&self) -> usize {
        self.ended.len()
    }

    /// Handles `input` at `now` and appends the effects to `outputs`.
    pub fn handle(&mut self, now: Instant, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Submit(submit) => self.submit(now, submit, outputs),
            Input::Placed { key, task, target } => self.placed(now, &key, task, target, outputs),
            Input::Refused { key, task, refusal } => {
                self.end_task(now, &key, task, TaskResult::NotStarted(refusal.detail), outputs);
            }
            Input::Ended(end) => self.ended(now, end, outputs),
            Input::Cancel { key, caller } => self.cancel(now, &key, caller, outputs),
            Input::Lookup { key, caller } => self.lookup(&key, caller, outputs),
            Input::Detach { key, caller } => {
                if let Some(job) = self.jobs.get_mut(&key) {
                    job.callers.retain(|other| *other != caller);
                }
            }
            Input::Tick => self.tick(now, outputs),
        }
    }

    fn submit(&mut self, now: Instant, submit: Submit, outputs: &mut Vec<Output>) {
        let Submit { caller, submission } = submit;
        if let Some(job) = self.jobs.get_mut(&submission.key) {
            join(job, caller, submission.fingerprint, outputs);
            return;
        }
        let mut job = Job::new(now, submission);
        job.callers.extend(caller);
        let mut waiting = Vec::with_capacity(job.tasks.len());
        for index in 0..job.tasks.len() {
            waiting.push(job.waiting_task(TaskIndex(index as u16)));
        }
        self.jobs.insert(job.submission.key.clone(), job);
        outputs.push(Output::Enqueue(waiting));
    }

    fn placed(
        &mut self,
        now: Instant,
        key: &JobKey,
        task: TaskIndex,
        target: TargetId,
        outputs: &mut Vec<Output>,
    ) {
        let index = usize::from(task.0);
        let job = self
            .jobs
            .get_mut(key)
            .filter(|job| matches!(job.tasks[index].phase, Phase::Waiting));
        let Some(job) = job else {
            outputs.push(Output::ReleaseSlot { target });
            return;
        };
        if job.deadline <= now {
            outputs.push(Output::ReleaseSlot { target });
            let result = TaskResult::NotStarted("the deadline passed before a slot was free".to_owned());
            self.end_task(now, key, task, result, outputs);
            return;
        }
        let state = &mut job.tasks[index];
        state.attempt = state.attempt.next();
        state.phase = Phase::Intended(target.clone());
        outputs.push(Output::Start(Box::new(StartTask {
            key: key.clone(),
            attempt: job.attempt_id(task),
            target,
            service: job.submission.service.clone(),
            start_within: self.options.start_within.min(job.deadline.since(now)),
            spec: job.submission.tasks[index].clone(),
        })));
    }

    fn ended(&mut self, now: Instant, end: TaskEnd, outputs: &mut Vec<Output>) {
        let task = end.attempt.task;
        let Some(job) = self.jobs.get_mut(&end.key) else {
            return;
        };
        let Some(target) = intended_target(job, end.attempt) else {
            return;
        };
        let state = &mut job.tasks[usize::from(task.0)];
        state.avoid.push(target);
        let is_startable = match &end.result {
            TaskResult::NotStarted(_) => state.attempt.0 < self.options.offers_per_task,
            TaskResult::Failed(_) | TaskResult::Completed(_) | TaskResult::Unknown(_) => false,
        };
        if is_startable && !job.is_cancelled && job.deadline > now {
            state.phase = Phase::Waiting;
            outputs.push(Output::Enqueue(vec![job.waiting_task(task)]));
            return;
        }
        self.end_task(now, &end.key, task, end.result, outputs);
    }

    fn end_task(
        &mut self,
        now: Instant,
        key: &JobKey,
        task: TaskIndex,
        result: TaskResult,
        outputs: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let state = &mut job.tasks[usize::from(task.0)];
        if state.is_ended() {
            return;
        }
        let is_completed = matches!(result, TaskResult::Completed(_));
        state.phase = Phase::Ended(result);
        if !is_completed {
            abandon_waiting(job, "another task of the job was not completed", outputs);
        }
        if !job.is_ended() {
            return;
        }
        job.ended = Some(now);
        let answer = job.answer();
        for caller in job.callers.drain(..) {
            outputs.push(Output::Reply {
                caller,
                answer: Ok(answer.clone()),
            });
        }
        self.ended.push_back(key.clone());
    }

    fn cancel(&mut self, now: Instant, key: &JobKey, caller: CallerId, outputs: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(key) else {
            outputs.push(Output::Reply {
                caller,
                answer: Err(unknown_key(key)),
            });
            return;
        };
        if job.is_ended() {
            outputs.push(Output::Reply {
                caller,
                answer: Ok(job.answer()),
            });
            return;
        }
        job.callers.push(caller);
        job.is_cancelled = true;
        abandon_waiting(job, "the job was cancelled", outputs);
        for (index, task) in job.tasks.iter().enumerate() {
            let Phase::Intended(target) = &task.phase else {
                continue;
            };
            let attempt = job.attempt_id(TaskIndex(index as u16));
            outputs.push(Output::Stop {
                attempt,
                target: target.clone(),
            });
        }
        if !job.is_ended() {
            return;
        }
        job.ended = Some(now);
        let answer = job.answer();
        for caller in job.callers.drain(..) {
            outputs.push(Output::Reply {
                caller,
                answer: Ok(answer.clone()),
            });
        }
        self.ended.push_back(key.clone());
    }

    fn lookup(&self, key: &JobKey, caller: CallerId, outputs: &mut Vec<Output>) {
        let answer = self
            .jobs
            .get(key)
            .map(Job::answer)
            .ok_or_else(|| unknown_key(key));
        outputs.push(Output::Reply { caller, answer });
    }

    fn tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.expire_waiting(now, outputs);
        while let Some(key) = self.ended.front() {
            let ended = self.jobs.get(key).and_then(|job| job.ended).unwrap_or(Instant(0));
            let is_kept = now.since(ended) < self.options.retention;
            if is_kept && self.ended.len() <= self.options.retained_jobs {
                break;
            }
            self.jobs.remove(key);
            self.ended.pop_front();
        }
    }

    fn expire_waiting(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let mut expired = Vec::new();
        for (key, job) in &self.jobs {
            if job.ended.is_some() || job.deadline > now {
                continue;
            }
            for (index, task) in job.tasks.iter().enumerate() {
                if matches!(task.phase, Phase::Waiting) {
                    expired.push((key.clone(), TaskIndex(index as u16)));
                }
            }
        }
        for (key, task) in expired {
            let result = TaskResult::NotStarted("the deadline passed before a slot was free".to_owned());
            self.end_task(now, &key, task, result, outputs);
        }
    }
}

/// Adds a caller to an existing job, or answers at once if the job has ended.
fn join(job: &mut Job, caller: Option<CallerId>, fingerprint: u64, outputs: &mut Vec<Output>) {
    let Some(caller) = caller else { return };
    if job.submission.fingerprint != fingerprint {
        let refusal = NotAccepted {
            reason: RefusalReason::KeyReused,
            outcome: Outcome::NotRun,
            retry_after: None,
            detail: "the idempotency key was used before with another body".to_owned(),
        };
        outputs.push(Output::Reply {
            caller,
            answer: Err(refusal),
        });
        return;
    }
    if job.is_ended() {
        outputs.push(Output::Reply {
            caller,
            answer: Ok(job.answer()),
        });
        return;
    }
    job.callers.push(caller);
}

/// Ends the tasks that still wait, so that nothing more is started for the job.
fn abandon_waiting(job: &mut Job, reason: &str, outputs: &mut Vec<Output>) {
    let mut is_any = false;
    for task in &mut job.tasks {
        if matches!(task.phase, Phase::Waiting) {
            task.phase = Phase::Ended(TaskResult::NotStarted(reason.to_owned()));
            is_any = true;
        }
    }
    if is_any {
        outputs.push(Output::Withdraw {
            key: job.submission.key.clone(),
        });
    }
}

/// Returns the target of `attempt` if it is the attempt that runs.
fn intended_target(job: &Job, attempt: AttemptId) -> Option<TargetId> {
    if job.attempt_id(attempt.task) != attempt {
        return None;
    }
    match &job.tasks[usize::from(attempt.task.0)].phase {
        Phase::Intended(target) => Some(target.clone()),
        Phase::Waiting | Phase::Ended(_) => None,
    }
}

fn unknown_key(key: &JobKey) -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::UnknownKey,
        outcome: Outcome::NotRun,
        retry_after: None,
        detail: format!("no job with key {key} is known here"),
    }
}
