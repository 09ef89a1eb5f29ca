//! Requests about jobs: submissions, lookups, cancellations and renunciations, and the waits for their
//! answers.

use std::{sync::Arc, time::Duration};

use kqr_jobs::{CallerId, Input, NotAccepted, Outcome, RefusalReason, Submission, Submit};
use kqr_settings::schema::TeamSettings;
use kqr_types::JobKey;
use tokio::sync::oneshot;

use super::{Answer, Engine, lock, pending_work::PendingWork, shard_of};

/// Lower bound of the limit on a retry time, long enough for shares of a quota to move to the entry with the
/// demand.
const MIN_RETRY_AFTER_LIMIT: Duration = Duration::from_secs(1);

impl Engine {
    /// Submits a job and returns its answer, or its current state if `is_waiting` is false.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the job is new and can't be accepted.
    pub async fn submit(self: &Arc<Self>, submission: Submission, is_waiting: bool) -> Answer {
        let key = submission.key.clone();
        if !is_waiting {
            self.admit_and_submit(None, submission)?;
            return self.lookup(key).await;
        }
        let (caller, rx) = self.waiters.add();
        if let Err(refusal) = self.admit_and_submit(Some(caller), submission) {
            self.waiters.remove(caller);
            return Err(refusal);
        }
        self.wait_for_answer(&key, caller, rx).await
    }

    /// Returns the answer or the current state of a job.
    pub async fn lookup(self: &Arc<Self>, key: JobKey) -> Answer {
        let (caller, rx) = self.waiters.add();
        self.handle(
            &key,
            Input::Lookup {
                key: key.clone(),
                caller,
            },
        );
        self.wait_for_answer(&key, caller, rx).await
    }

    /// Requests on behalf of another data centre that this one never runs a key.
    ///
    /// Only a refusal with reason [`RefusalReason::UnknownKey`] and outcome [`Outcome::NotRun`] grants the
    /// request.
    pub async fn renounce(self: &Arc<Self>, key: JobKey) -> Answer {
        let (caller, rx) = self.waiters.add();
        self.handle(
            &key,
            Input::Renounce {
                key: key.clone(),
                caller,
            },
        );
        self.wait_for_answer(&key, caller, rx).await
    }

    /// Cancels a job and returns its answer.
    pub async fn cancel(self: &Arc<Self>, key: JobKey) -> Answer {
        let (caller, rx) = self.waiters.add();
        self.handle(
            &key,
            Input::Cancel {
                key: key.clone(),
                caller,
            },
        );
        self.wait_for_answer(&key, caller, rx).await
    }

    /// Passes a submission to the job machine of its key. A new job must be admitted first.
    fn admit_and_submit(
        self: &Arc<Self>,
        caller: Option<CallerId>,
        submission: Submission,
    ) -> Result<(), NotAccepted> {
        let shard = shard_of(&submission.key);
        let now = self.clock.now();
        let mut outputs = Vec::new();
        let mut machine = lock(&self.shards[shard.0]);
        if machine.is_new(now, &submission)? {
            self.count_arrivals(&submission);
            let settings = self.settings.current();
            let max_queued = settings.service_rules(&submission.service).max_queued.0 as usize;
            let mut queue = lock(&self.queue);
            if queue.len() + submission.tasks.len() > max_queued.max(Submission::MAX_TASKS) {
                return Err(queue_full(max_queued));
            }
            let admitted = queue.admit(now, &self.table, &submission);
            drop(queue);
            admitted.map_err(|refusal| {
                limit_retry_after(refusal, &submission, settings.team_rules(&submission.team))
            })?;
        }
        machine.handle(now, Input::Submit(Submit { caller, submission }), &mut outputs);
        drop(machine);
        let mut work = PendingWork::default();
        work.mark_unflushed(shard);
        work.push_outputs(shard, outputs);
        self.process(work);
        Ok(())
    }

    /// Counts the tasks of a new job as demand of its team, even if the job is refused.
    fn count_arrivals(&self, submission: &Submission) {
        let tasks = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let mut arrivals = lock(&self.arrivals);
        let count = arrivals.entry(submission.team.clone()).or_default();
        *count = count.saturating_add(tasks);
    }

    /// Waits for a caller's answer. If the caller's request is dropped first, the caller is detached
    /// from the job.
    async fn wait_for_answer(
        self: &Arc<Self>,
        key: &JobKey,
        caller: CallerId,
        rx: oneshot::Receiver<Answer>,
    ) -> Answer {
        let guard = WaiterGuard {
            engine: self,
            key,
            caller,
        };
        let answer = rx.await.unwrap_or_else(|_| {
            Err(NotAccepted {
                reason: RefusalReason::ShuttingDown,
                outcome: Outcome::MayHaveRun,
                retry_after: None,
                detail: "the instance stopped before it answered".to_owned(),
            })
        });
        drop(guard);
        answer
    }
}

/// Removes a waiting caller when its request ends or is dropped, and detaches it from the job if it was
/// unanswered.
struct WaiterGuard<'a> {
    engine: &'a Arc<Engine>,
    key: &'a JobKey,
    caller: CallerId,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        if self.engine.waiters.remove(self.caller) {
            let input = Input::Detach {
                key: self.key.clone(),
                caller: self.caller,
            };
            self.engine.handle(self.key, input);
        }
    }
}

fn queue_full(max_queued: usize) -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::Overloaded,
        outcome: Outcome::NotRun,
        retry_after: Some(Duration::from_secs(1)),
        detail: format!("more than {max_queued} tasks would wait at this entry"),
    }
}

/// Limits the retry time of a caller over its quota to the time that the whole quota takes for its job, since
/// the share of the quota that is leased to this entry grows with the demand.
fn limit_retry_after(
    mut refusal: NotAccepted,
    submission: &Submission,
    rules: Option<&TeamSettings>,
) -> NotAccepted {
    let (RefusalReason::QuotaExceeded, Some(rules)) = (refusal.reason, rules) else {
        return refusal;
    };
    let tasks = submission.tasks.len() as f64;
    let needed = Duration::from_secs_f64(tasks / rules.quota.0.max(1.0)).max(MIN_RETRY_AFTER_LIMIT);
    refusal.retry_after = refusal.retry_after.map(|wait| wait.min(needed));
    refusal
}
