//! State transitions of tasks at their home.

use kqr_types::{Incarnation, Instant, JobKey, KeyDigest, TargetId, TaskIndex};

use super::{Machine, RetainedJob, calls::reply};
use crate::{
    Fault, JobState, Output, Phase, TaskEnd, TaskResult, pending_effects::Effect, state_size::job_bytes,
};

/// Reason of a task that got no slot before its deadline.
const DEADLINE_PASSED_IN_QUEUE: &str = "the deadline passed before a slot was free";

impl Machine {
    pub(super) fn handle_placed(
        &mut self,
        now: Instant,
        key: &JobKey,
        task: TaskIndex,
        target: TargetId,
        incarnation: Incarnation,
        outputs: &mut Vec<Output>,
    ) {
        let is_active = self.cell.is_active;
        let waiting = self.own_job(key).filter(|job| is_active && is_waiting(job, task));
        let Some(job) = waiting else {
            outputs.push(Output::ReleaseSlot {
                key: key.clone(),
                task,
                target,
            });
            return;
        };
        let digest = job.digest;
        if job.deadline <= now {
            outputs.push(Output::ReleaseSlot {
                key: key.clone(),
                task,
                target,
            });
            self.end_task(
                now,
                digest,
                task,
                TaskResult::NotStarted(DEADLINE_PASSED_IN_QUEUE.to_owned()),
                outputs,
            );
            return;
        }
        let record = &mut job.tasks[usize::from(task.0)].record;
        record.attempt = record.attempt.next();
        record.phase = Phase::Intended { target, incarnation };
        let attempt = job.attempt_id(task);
        self.pending_change(digest).tasks.insert(task);
        self.defer_effect(digest, Effect::Start(attempt));
    }

    pub(super) fn handle_refused(
        &mut self,
        now: Instant,
        digest: KeyDigest,
        task: TaskIndex,
        reason: String,
        outputs: &mut Vec<Output>,
    ) {
        let is_own = self.cell.is_own(digest) && self.cell.is_active;
        let is_waiting = self.jobs.get(&digest).is_some_and(|job| is_waiting(job, task));
        if is_own && is_waiting {
            self.end_task(now, digest, task, TaskResult::NotStarted(reason), outputs);
        }
    }

    pub(super) fn handle_ended(&mut self, now: Instant, end: TaskEnd, outputs: &mut Vec<Output>) {
        let task = end.attempt.task;
        let max_offers = self.options.max_offers_per_task;
        let is_active = self.cell.is_active;
        let Some(job) = self.own_job(&end.key) else { return };
        let digest = job.digest;
        let is_current = usize::from(task.0) < job.tasks.len() && job.attempt_id(task) == end.attempt;
        if !is_current {
            return;
        }
        let cannot_complete = job.cannot_complete() || job.deadline <= now;
        let state = &mut job.tasks[usize::from(task.0)];
        let Phase::Intended { target, .. } = &state.record.phase else {
            return;
        };
        if !state.is_tracked {
            return;
        }
        let target = target.clone();
        let is_retryable = match &end.result {
            TaskResult::NotStarted(_) => state.record.attempt.0 < max_offers,
            TaskResult::Failed(_) | TaskResult::Completed(_) | TaskResult::Unknown(_) => false,
        };
        if !is_retryable || cannot_complete {
            self.end_task(now, digest, task, end.result, outputs);
            return;
        }
        state.avoid.push(target);
        state.record.phase = Phase::Waiting;
        state.is_tracked = false;
        if is_active {
            outputs.push(Output::Enqueue(vec![job.waiting_task(task)]));
        }
        self.pending_change(digest).tasks.insert(task);
    }

    pub(super) fn end_task(
        &mut self,
        now: Instant,
        digest: KeyDigest,
        task: TaskIndex,
        result: TaskResult,
        outputs: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(&digest) else {
            return;
        };
        let is_completed = matches!(result, TaskResult::Completed(_));
        job.tasks[usize::from(task.0)].record.phase = Phase::Ended(result);
        self.pending_change(digest).tasks.insert(task);
        if !is_completed {
            self.end_unstarted_tasks(digest, "another task of the job was not completed", outputs);
        }
        self.finish_if_ended(now, digest);
        if self.options.has(Fault::AnswerWithFirstTask) {
            self.answer_partially(digest, outputs);
        }
    }

    /// Injects [`Fault::AnswerWithFirstTask`]: reports the job as complete although tasks are missing.
    fn answer_partially(&mut self, digest: KeyDigest, outputs: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&digest) else {
            return;
        };
        for caller in std::mem::take(&mut job.callers) {
            let mut answer = job.answer();
            answer.state = JobState::Complete;
            reply(Some(caller), Ok(answer), outputs);
        }
    }

    /// Ends the tasks that were not started, so that no further task of the job starts.
    pub(super) fn end_unstarted_tasks(&mut self, digest: KeyDigest, reason: &str, outputs: &mut Vec<Output>) {
        if !self.cell.is_active {
            return;
        }
        self.revoke_deferred_starts(digest, outputs);
        let Some(job) = self.jobs.get_mut(&digest) else {
            return;
        };
        let mut unstarted = Vec::new();
        for (index, task) in job.tasks.iter_mut().enumerate() {
            if task.is_waiting() {
                task.record.phase = Phase::Ended(TaskResult::NotStarted(reason.to_owned()));
                unstarted.push(TaskIndex(index as u16));
            }
        }
        if unstarted.is_empty() {
            return;
        }
        outputs.push(Output::Withdraw {
            key: job.submission.key.clone(),
        });
        self.pending_change(digest).tasks.extend(unstarted);
    }

    /// Revokes the starts of a job that were not yet emitted; their tasks wait again.
    pub(super) fn revoke_deferred_starts(&mut self, digest: KeyDigest, outputs: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&digest) else {
            return;
        };
        for pending in &mut self.pending_effects {
            if pending.job != digest {
                continue;
            }
            pending.effects.retain(|effect| {
                let Effect::Start(attempt) = effect else {
                    return true;
                };
                let state = &mut job.tasks[usize::from(attempt.task.0)];
                if let Phase::Intended { target, .. } = &state.record.phase {
                    outputs.push(Output::ReleaseSlot {
                        key: job.submission.key.clone(),
                        task: attempt.task,
                        target: target.clone(),
                    });
                }
                state.record.phase = Phase::Waiting;
                false
            });
        }
    }

    /// Enqueues the waiting tasks of a job.
    pub(super) fn enqueue_waiting_tasks(&self, digest: KeyDigest, outputs: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(&digest) else { return };
        let mut waiting = Vec::with_capacity(job.tasks.len());
        for (index, task) in job.tasks.iter().enumerate() {
            if task.is_waiting() {
                waiting.push(job.waiting_task(TaskIndex(index as u16)));
            }
        }
        if !waiting.is_empty() {
            outputs.push(Output::Enqueue(waiting));
        }
    }

    /// Defers the answers of a job until its followers have acknowledged its end, if all of its tasks have
    /// ended.
    pub(super) fn finish_if_ended(&mut self, now: Instant, digest: KeyDigest) {
        self.record_job_end(now, digest);
        let is_active = self.cell.is_active;
        let Some(job) = self.jobs.get_mut(&digest) else {
            return;
        };
        if !is_active || job.ended_at.is_none() || job.is_settled {
            return;
        }
        for caller in std::mem::take(&mut job.callers) {
            self.defer_effect(digest, Effect::Reply(caller));
        }
        self.defer_effect(digest, Effect::Settle);
    }

    /// Moves a job from the live to the retained jobs if it has just ended.
    pub(super) fn record_job_end(&mut self, now: Instant, digest: KeyDigest) {
        let Some(job) = self.jobs.get_mut(&digest) else {
            return;
        };
        job.record_end(now);
        let Some(ended_at) = job.ended_at else { return };
        if !self.live.remove(&digest) {
            return;
        }
        let bytes = job_bytes(job);
        self.retained_bytes += bytes;
        self.retained.insert(RetainedJob {
            ended_at,
            job: digest,
            bytes,
        });
    }

    /// Ends the waiting tasks of jobs whose deadline has passed.
    pub(super) fn expire_waiting_tasks(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if !self.cell.is_active {
            return;
        }
        let mut expired = Vec::new();
        for digest in &self.live {
            let Some(job) = self.jobs.get(digest) else {
                continue;
            };
            if job.deadline > now || !job.is_own() {
                continue;
            }
            let Some(index) = job.tasks.iter().position(crate::task::Task::is_waiting) else {
                continue;
            };
            expired.push((*digest, TaskIndex(index as u16)));
        }
        for (digest, task) in expired {
            self.end_task(
                now,
                digest,
                task,
                TaskResult::NotStarted(DEADLINE_PASSED_IN_QUEUE.to_owned()),
                outputs,
            );
        }
    }
}

fn is_waiting(job: &crate::job::Job, task: TaskIndex) -> bool {
    job.tasks
        .get(usize::from(task.0))
        .is_some_and(crate::task::Task::is_waiting)
}
