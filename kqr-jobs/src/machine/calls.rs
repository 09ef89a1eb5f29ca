//! Requests of callers: submissions, cancellations, lookups and renunciations.

use std::time::Duration;

use kqr_types::{Instant, JobKey, KeyDigest};

use super::Machine;
use crate::{
    CallerId, NotAccepted, Output, Phase, Submission, Submit, TombstoneKind, Update, job::Job,
    pending_effects::Effect, refusal,
};

impl Machine {
    pub(super) fn submit(&mut self, now: Instant, submit: Submit, outputs: &mut Vec<Output>) {
        let Submit { caller, submission } = submit;
        let digest = KeyDigest::of(&submission.key);
        let refused = match self.jobs.get(&digest) {
            Some(job) if job.submission.fingerprint != submission.fingerprint => Some(refusal::key_reused()),
            Some(_) => None,
            None => self.refusal_of_unknown_key(now, digest, &submission),
        };
        if let Some(refused) = refused {
            reply(caller, Err(refused), outputs);
            return;
        }
        if self.jobs.contains_key(&digest) {
            self.attach_caller(now, digest, caller, outputs);
            return;
        }
        let mut job = Job::new(now, submission);
        job.callers.extend(caller);
        self.jobs.insert(digest, job);
        self.live.insert(digest);
        self.pending_change(digest);
        self.enqueue_waiting_tasks(digest, outputs);
    }

    /// Returns whether `submission` would create a job here: its key is unknown and this member may act as
    /// its home.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the key is unknown and the submission can't be accepted.
    pub fn is_new(&self, now: Instant, submission: &Submission) -> Result<bool, NotAccepted> {
        let digest = KeyDigest::of(&submission.key);
        if self.jobs.contains_key(&digest) {
            return Ok(false);
        }
        match self.refusal_of_unknown_key(now, digest, submission) {
            Some(refusal) => Err(refusal),
            None => Ok(true),
        }
    }

    /// Returns the refusal of a submission with an unknown key, or `None` if it can be accepted.
    fn refusal_of_unknown_key(
        &self,
        now: Instant,
        digest: KeyDigest,
        submission: &Submission,
    ) -> Option<NotAccepted> {
        if let Some(kind) = self.tombstones.get(digest) {
            return Some(refusal::tombstoned(kind));
        }
        if !self.cell.is_own(digest) {
            return Some(refusal::not_ready("this instance is not the home of the key"));
        }
        if !self.can_act(now) {
            return Some(refusal::not_ready(
                "the home of the key has no lease or is taking over",
            ));
        }
        if self.options.cold_start_window.is_zero() {
            return None;
        }
        let age = self.history_age(now);
        let is_resubmission = submission.attempt.is_some_and(|attempt| attempt.0 >= 2);
        let required_age = if is_resubmission {
            self.options.key_retention()
        } else {
            self.options.cold_start_window
        };
        (age < required_age).then(refusal::history_lost)
    }

    fn history_age(&self, now: Instant) -> Duration {
        self.cell.history.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns whether an unknown key may have been run here. A cold start window of zero means that there is
    /// no earlier history.
    fn is_history_incomplete(&self, now: Instant) -> bool {
        !self.options.cold_start_window.is_zero() && self.history_age(now) < self.options.key_retention()
    }

    /// Promises another data centre never to run a key here, if the key was never seen.
    pub(super) fn renounce(
        &mut self,
        now: Instant,
        key: &JobKey,
        caller: CallerId,
        outputs: &mut Vec<Output>,
    ) {
        let digest = KeyDigest::of(key);
        if let Some(job) = self.jobs.get(&digest) {
            let answer = if job.is_settled {
                Ok(job.answer())
            } else {
                Err(refusal::not_ready("the job has not ended here"))
            };
            reply(Some(caller), answer, outputs);
            return;
        }
        let refused = match self.tombstones.get(digest) {
            Some(TombstoneKind::Ended(outcome)) => Some(refusal::tombstoned(TombstoneKind::Ended(outcome))),
            _ if !self.cell.is_own(digest) || !self.can_act(now) => {
                Some(refusal::not_ready("the home of the key is changing"))
            }
            _ if self.is_history_incomplete(now) => Some(refusal::history_lost()),
            Some(TombstoneKind::Renounced) | None => None,
        };
        if let Some(refused) = refused {
            reply(Some(caller), Err(refused), outputs);
            return;
        }
        let remaining = self.options.tombstone_retention;
        self.replace_with_tombstone(now, digest, TombstoneKind::Renounced, remaining);
        let update = Update::Tombstone {
            job: digest,
            kind: TombstoneKind::Renounced,
            remaining,
        };
        self.pending_tombstones.insert(digest, update);
        self.defer_effect(digest, Effect::Renounce(caller));
    }

    /// Adds a caller to those that wait for the answer of a known job, or answers at once if the job is
    /// settled.
    fn attach_caller(
        &mut self,
        now: Instant,
        digest: KeyDigest,
        caller: Option<CallerId>,
        outputs: &mut Vec<Output>,
    ) {
        let is_own = self.cell.is_own(digest);
        let is_active = self.cell.is_active;
        let is_leased = now < self.cell.lease_until || self.can_act(now);
        let Some(job) = self.jobs.get_mut(&digest) else {
            return;
        };
        let Some(caller) = caller else { return };
        if job.is_settled {
            reply(Some(caller), Ok(job.answer()), outputs);
            return;
        }
        if !is_own || !is_leased {
            reply(
                Some(caller),
                Err(refusal::not_ready(
                    "this instance is not the home of the key, or has no lease",
                )),
                outputs,
            );
            return;
        }
        if job.ended_at.is_none() || !is_active {
            job.callers.push(caller);
            return;
        }
        self.defer_effect(digest, Effect::Reply(caller));
    }

    pub(super) fn cancel(&mut self, now: Instant, key: &JobKey, caller: CallerId, outputs: &mut Vec<Output>) {
        let digest = KeyDigest::of(key);
        let can_act = self.can_act(now);
        let is_own = self.cell.is_own(digest);
        let Some(job) = self.jobs.get_mut(&digest) else {
            reply(
                Some(caller),
                Err(self.refusal_of_missing_job(digest, key)),
                outputs,
            );
            return;
        };
        if job.ended_at.is_some() {
            self.attach_caller(now, digest, Some(caller), outputs);
            return;
        }
        if !is_own || !can_act {
            reply(
                Some(caller),
                Err(refusal::not_ready("the home of the key is changing")),
                outputs,
            );
            return;
        }
        job.callers.push(caller);
        if job.is_cancelled {
            return;
        }
        job.is_cancelled = true;
        self.pending_change(digest).is_cancelled = true;
        self.end_unstarted_tasks(digest, "the job was cancelled", outputs);
        self.stop_running_tasks(digest, outputs);
        self.finish_if_ended(now, digest);
    }

    /// Requests the targets of a cancelled job to stop its running attempts.
    pub(super) fn stop_running_tasks(&self, digest: KeyDigest, outputs: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(&digest) else { return };
        for (index, task) in job.tasks.iter().enumerate() {
            let Phase::Intended { target, .. } = &task.record.phase else {
                continue;
            };
            outputs.push(Output::Stop {
                attempt: job.attempt_id(kqr_types::TaskIndex(index as u16)),
                target: target.clone(),
            });
        }
    }

    pub(super) fn lookup(&self, now: Instant, key: &JobKey, caller: CallerId, outputs: &mut Vec<Output>) {
        let digest = KeyDigest::of(key);
        let Some(job) = self.jobs.get(&digest) else {
            reply(
                Some(caller),
                Err(self.refusal_of_missing_job(digest, key)),
                outputs,
            );
            return;
        };
        let is_visible =
            job.is_settled || (job.ended_at.is_none() && self.cell.is_own(digest) && self.can_act(now));
        let answer = if is_visible {
            Ok(job.answer())
        } else {
            Err(refusal::not_ready(
                "the followers have not yet acknowledged the answer",
            ))
        };
        reply(Some(caller), answer, outputs);
    }

    fn refusal_of_missing_job(&self, digest: KeyDigest, key: &JobKey) -> NotAccepted {
        match self.tombstones.get(digest) {
            Some(kind) => refusal::tombstoned(kind),
            None => refusal::unknown_key(key),
        }
    }

    /// Refuses the waiting callers while there is no lease, because another member may be the home of their
    /// jobs.
    pub(super) fn refuse_callers_without_lease(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.can_act(now) || !self.cell.is_active {
            return;
        }
        let mut waiting = Vec::new();
        for digest in &self.live {
            if let Some(job) = self.jobs.get_mut(digest) {
                waiting.append(&mut job.callers);
            }
        }
        for pending in &mut self.pending_effects {
            pending.effects.retain(|effect| {
                let (Effect::Reply(caller) | Effect::Renounce(caller)) = effect else {
                    return true;
                };
                waiting.push(*caller);
                false
            });
        }
        for caller in waiting {
            reply(
                Some(caller),
                Err(refusal::not_ready("the home of the key lost its lease")),
                outputs,
            );
        }
    }

    pub(super) fn detach(&mut self, key: &JobKey, caller: CallerId) {
        let digest = KeyDigest::of(key);
        if let Some(job) = self.jobs.get_mut(&digest) {
            job.callers.retain(|other| *other != caller);
        }
        for pending in &mut self.pending_effects {
            if pending.job == digest {
                pending
                    .effects
                    .retain(|effect| *effect != Effect::Reply(caller) && *effect != Effect::Renounce(caller));
            }
        }
    }
}

/// Emits an answer if a caller waits for it.
pub(super) fn reply(
    caller: Option<CallerId>,
    answer: Result<crate::JobAnswer, NotAccepted>,
    outputs: &mut Vec<Output>,
) {
    if let Some(caller) = caller {
        outputs.push(Output::Reply { caller, answer });
    }
}
