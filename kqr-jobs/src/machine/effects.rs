//! Effects that wait for acknowledgements of followers.

use kqr_types::{AttemptId, Instant, KeyDigest};

use super::{Machine, calls::reply};
use crate::{
    CallerId, Fault, Options, Output, Phase, StartTask, TaskResult,
    pending_effects::{Effect, PendingEffects},
    refusal,
};

impl Machine {
    /// Defers an effect until the followers of `job` have acknowledged the updates that it depends on.
    pub(super) fn defer_effect(&mut self, job: KeyDigest, effect: Effect) {
        if let Some(last) = self.pending_effects.last_mut()
            && last.job == job
            && last.required_acks.is_none()
        {
            last.effects.push(effect);
            return;
        }
        self.pending_effects.push(PendingEffects {
            job,
            required_acks: None,
            effects: vec![effect],
        });
    }

    /// Sets the stream positions that followers must acknowledge before the newly deferred effects.
    pub(super) fn set_required_acks(&mut self) {
        for pending in &mut self.pending_effects {
            if pending.required_acks.is_some() {
                continue;
            }
            let followers = self.cell.followers(pending.job).into_iter();
            let position = |id| {
                let end = self.cell.links.get(&id).map(crate::link::Link::end_position)?;
                Some((id, end))
            };
            pending.required_acks = Some(followers.filter_map(position).collect());
        }
    }

    /// Emits the effects whose required positions are acknowledged, if this member has a valid lease.
    pub(super) fn release_effects(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if !self.can_act(now) {
            return;
        }
        for mut pending in std::mem::take(&mut self.pending_effects) {
            let is_acknowledged = self.is_acknowledged(&pending);
            let is_due = |effect: &mut Effect| is_acknowledged || bypasses_acks(&self.options, effect);
            let effects: Vec<Effect> = pending.effects.extract_if(.., is_due).collect();
            for effect in effects {
                match effect {
                    Effect::Start(attempt) => self.emit_start(now, pending.job, attempt, outputs),
                    Effect::Reply(caller) => self.emit_answer(pending.job, caller, outputs),
                    Effect::Renounce(caller) => reply(Some(caller), Err(refusal::renounced()), outputs),
                    Effect::Settle => self.settle_job(pending.job),
                }
            }
            if !pending.effects.is_empty() {
                self.pending_effects.push(pending);
            }
        }
    }

    fn is_acknowledged(&self, pending: &PendingEffects) -> bool {
        let Some(required_acks) = &pending.required_acks else {
            return false;
        };
        required_acks.iter().all(|(id, position)| {
            let link = self.cell.links.get(id);
            link.is_some_and(|link| link.acked_position() >= *position)
        })
    }

    fn emit_start(&mut self, now: Instant, digest: KeyDigest, attempt: AttemptId, outputs: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&digest) else {
            return;
        };
        if job.attempt_id(attempt.task) != attempt {
            return;
        }
        let index = usize::from(attempt.task.0);
        let Phase::Intended { target, incarnation } = job.tasks[index].record.phase.clone() else {
            return;
        };
        if job.deadline <= now {
            outputs.push(Output::ReleaseSlot {
                key: job.submission.key.clone(),
                task: attempt.task,
                target,
            });
            let result = TaskResult::NotStarted("the deadline passed before the start".to_owned());
            self.end_task(now, digest, attempt.task, result, outputs);
            return;
        }
        job.tasks[index].is_tracked = true;
        outputs.push(Output::Start(Box::new(StartTask {
            key: job.submission.key.clone(),
            attempt,
            target,
            incarnation,
            service: job.submission.service.clone(),
            start_within: self.options.start_within.min(job.deadline.since(now)),
            spec: job.submission.tasks[index].clone(),
        })));
    }

    fn emit_answer(&self, digest: KeyDigest, caller: CallerId, outputs: &mut Vec<Output>) {
        if let Some(job) = self.jobs.get(&digest) {
            reply(Some(caller), Ok(job.answer()), outputs);
        }
    }

    fn settle_job(&mut self, digest: KeyDigest) {
        let Some(job) = self.jobs.get_mut(&digest) else {
            return;
        };
        job.is_settled = true;
        self.pending_change(digest).is_settled = true;
    }
}

/// Returns whether an injected fault emits `effect` before the acknowledgements that it requires.
fn bypasses_acks(options: &Options, effect: &Effect) -> bool {
    match effect {
        Effect::Start(_) => options.has(Fault::StartBeforeAck),
        Effect::Reply(_) | Effect::Renounce(_) => options.has(Fault::ReplyBeforeAck),
        Effect::Settle => false,
    }
}
