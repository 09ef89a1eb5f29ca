//! Calls of callers: submissions, questions, cancellations and promises, and the waits for their answers.

use std::{sync::Arc, time::Duration};

use kqr_jobs::{CallerId, Input, NotAccepted, Outcome, RefusalReason, Submission, Submit};
use kqr_settings::schema::TeamRules;
use kqr_types::JobKey;
use tokio::sync::oneshot;

use super::{Answer, Engine, lock, shard_of, work::Work};

/// Time in which parts of a quota move to the entry that has the demand, with some to spare.
const LEAST_QUOTA_WAIT: Duration = Duration::from_secs(1);

impl Engine {
    /// Submits a job and waits for its answer, or for its present state if `is_waiting` is false.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the job is new and can't be accepted.
    pub async fn submit(self: &Arc<Self>, submission: Submission, is_waiting: bool) -> Answer {
        let key = submission.key.clone();
        if !is_waiting {
            self.admit(None, submission)?;
            return self.lookup(key).await;
        }
        let (caller, rx) = self.waiters.add();
        if let Err(refusal) = self.admit(Some(caller), submission) {
            self.waiters.remove(caller);
            return Err(refusal);
        }
        self.wait(&key, caller, rx).await
    }

    /// Returns the answer or the present state of a job.
    pub async fn lookup(self: &Arc<Self>, key: JobKey) -> Answer {
        let (caller, rx) = self.waiters.add();
        self.handle(
            &key,
            Input::Lookup {
                key: key.clone(),
                caller,
            },
        );
        self.wait(&key, caller, rx).await
    }

    /// Promises another data centre that a key is not run here. The promise is a refusal as an unknown key that was not
    /// run; any other answer is none.
    pub async fn renounce(self: &Arc<Self>, key: JobKey) -> Answer {
        let (caller, rx) = self.waiters.add();
        self.handle(
            &key,
            Input::Renounce {
                key: key.clone(),
                caller,
            },
        );
        self.wait(&key, caller, rx).await
    }

    /// Cancels a job and waits for its answer.
    pub async fn cancel(self: &Arc<Self>, key: JobKey) -> Answer {
        let (caller, rx) = self.waiters.add();
        self.handle(
            &key,
            Input::Cancel {
                key: key.clone(),
                caller,
            },
        );
        self.wait(&key, caller, rx).await
    }

    /// Hands a submission to the machine of its key. A job that is not known yet must pass the admission.
    fn admit(self: &Arc<Self>, caller: Option<CallerId>, submission: Submission) -> Result<(), NotAccepted> {
        let shard = shard_of(&submission.key);
        let now = self.clock.now();
        let mut outputs = Vec::new();
        let mut machine = lock(&self.shards[shard.0]);
        if machine.is_new(now, &submission)? {
            self.note_arrival(&submission);
            let settings = self.settings.current();
            let most = settings.service_rules(&submission.service).max_queued.0 as usize;
            let mut queue = lock(&self.queue);
            if queue.len() + submission.tasks.len() > most.max(Submission::MAX_TASKS) {
                return Err(queue_full(most));
            }
            let admitted = queue.admit(now, &self.table, &submission);
            drop(queue);
            admitted.map_err(|refusal| {
                bounded_by_quota(refusal, &submission, settings.team_rules(&submission.team))
            })?;
        }
        machine.handle(now, Input::Submit(Submit { caller, submission }), &mut outputs);
        drop(machine);
        let mut work = Work::default();
        work.note_change(shard);
        work.add(shard, outputs);
        self.settle(work);
        Ok(())
    }

    /// Counts the tasks of a new job as demand of its team, also if it is refused.
    fn note_arrival(&self, submission: &Submission) {
        let tasks = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
        let mut arrivals = lock(&self.arrivals);
        let count = arrivals.entry(submission.team.clone()).or_default();
        *count = count.saturating_add(tasks);
    }

    /// Waits for the answer of a caller. A caller that goes away is forgotten.
    async fn wait(self: &Arc<Self>, key: &JobKey, caller: CallerId, rx: oneshot::Receiver<Answer>) -> Answer {
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
                detail: "the instance stopped before the answer".to_owned(),
            })
        });
        drop(guard);
        answer
    }
}

/// Removes a waiting caller when its request ends or is dropped.
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

fn queue_full(most: usize) -> NotAccepted {
    NotAccepted {
        reason: RefusalReason::Overloaded,
        outcome: Outcome::NotRun,
        retry_after: Some(Duration::from_secs(1)),
        detail: format!("more than {most} tasks would wait at this entry"),
    }
}

/// Bounds the time that a caller over its quota is told to wait by what the whole quota takes for its job: the part
/// that is leased to this entry grows with the demand.
fn bounded_by_quota(
    mut refusal: NotAccepted,
    submission: &Submission,
    rules: Option<&TeamRules>,
) -> NotAccepted {
    let (RefusalReason::QuotaExceeded, Some(rules)) = (refusal.reason, rules) else {
        return refusal;
    };
    let tasks = submission.tasks.len() as f64;
    let needed = Duration::from_secs_f64(tasks / rules.quota.0.max(1.0)).max(LEAST_QUOTA_WAIT);
    refusal.retry_after = refusal.retry_after.map(|wait| wait.min(needed));
    refusal
}
