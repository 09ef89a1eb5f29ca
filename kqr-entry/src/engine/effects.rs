//! Performs the effects of the job machines and of the queue.

use std::{sync::Arc, time::Duration};

use kqr_admission::{AttemptResult, EndedAttempt, Output as QueueOutput};
use kqr_jobs::{
    Input, NotAccepted, Outcome, Output, RefusalReason, StartTask, TaskEnd, TaskResult, WaitingTask,
};
use kqr_telemetry::{EventKind, TaskLength};
use kqr_types::{AttemptId, Incarnation, JobKey, TargetId};
use kqr_wire::mail::Mail;

use super::{Engine, lock, shard_of, work::ShardIndex, work::Work};

/// Pause after the first offer of a task that its target refused; it grows with each further one.
const OFFER_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause after a refused offer.
const MAX_OFFER_PAUSE: Duration = Duration::from_millis(200);

impl Engine {
    /// Hands an input to the machine of a shard. Its effects are added to `work`.
    pub(super) fn apply(&self, shard: ShardIndex, input: Input, work: &mut Work) {
        let mut outputs = Vec::new();
        lock(&self.shards[shard.0]).handle(self.clock.now(), input, &mut outputs);
        work.note_change(shard);
        work.add(shard, outputs);
    }

    /// Performs effects until none is left. Changes are sent to the other members after waiting tasks were placed, so
    /// that a submission and its first placements travel in one message.
    pub(super) fn settle(self: &Arc<Self>, mut work: Work) {
        loop {
            while let Some((shard, output)) = work.next_output() {
                self.perform(shard, output, &mut work);
            }
            if std::mem::take(&mut work.is_dispatch_due) {
                let mut outputs = Vec::new();
                lock(&self.queue).dispatch(self.clock.now(), &self.table, &mut outputs);
                self.perform_queue(outputs, &mut work);
                self.borrow_slots();
                continue;
            }
            let Some(shard) = work.next_unflushed() else {
                return;
            };
            let mut outputs = Vec::new();
            lock(&self.shards[shard.0]).handle(self.clock.now(), Input::Flush, &mut outputs);
            work.add(shard, outputs);
        }
    }

    fn perform(self: &Arc<Self>, shard: ShardIndex, output: Output, work: &mut Work) {
        match output {
            Output::Enqueue(tasks) => {
                let now = self.clock.now();
                lock(&self.waits).begin(now, &tasks);
                lock(&self.borrowed).add_waiting_services(&tasks);
                lock(&self.queue).push(now, &self.table, tasks);
                work.is_dispatch_due = true;
            }
            Output::Withdraw { key } => {
                lock(&self.waits).withdraw(&key);
                lock(&self.borrowed).withdraw(&key);
                lock(&self.queue).withdraw([&key]);
            }
            Output::ReleaseSlot { key, task, target } => {
                self.release_slot(&key, task, &target);
                work.is_dispatch_due = true;
            }
            Output::Start(start) => self.start(*start),
            Output::Stop { attempt, target } => {
                let engine = Arc::clone(self);
                self.tracker
                    .spawn(async move { engine.starter.stop(&engine, attempt, &target).await });
            }
            Output::Query {
                key,
                attempt,
                target,
                incarnation,
            } => self.query(key, attempt, target, incarnation),
            Output::Send { to, message } => self.outbox.enqueue(
                &to,
                Mail::Jobs {
                    shard: shard.0 as u16,
                    message,
                },
            ),
            Output::Synced { epoch } => {
                if let Some(epoch) = lock(&self.sync_reports).report(shard, epoch) {
                    self.synced.send_replace(epoch);
                }
            }
            Output::Reply { caller, answer } => self.waiters.answer(caller, answer),
        }
    }

    /// Performs the effects of the queue.
    pub(super) fn perform_queue(self: &Arc<Self>, outputs: Vec<QueueOutput>, work: &mut Work) {
        for output in outputs {
            match output {
                QueueOutput::Placed(task, target) => {
                    let present = self.table.get(&target);
                    // A target that left in the meantime has no life to match, so that its start is not sent.
                    let incarnation =
                        present.map_or(Incarnation::default(), |present| present.announcement.incarnation);
                    let input = Input::Placed {
                        key: task.key.clone(),
                        task: task.task,
                        target,
                        incarnation,
                    };
                    self.apply(shard_of(&task.key), input, work);
                }
                QueueOutput::Unplaceable(task, failure) => {
                    let refusal = NotAccepted {
                        reason: RefusalReason::NoSuitableTarget,
                        outcome: Outcome::NotRun,
                        retry_after: None,
                        detail: format!("service {}: {failure}", task.service),
                    };
                    self.refuse(&task, refusal, work);
                }
                QueueOutput::Refused(task, refusal) => self.refuse(&task, refusal, work),
                QueueOutput::Throttle { key, task, target } => {
                    let attempt = lock(&self.shards[shard_of(&key).0]).running_attempt(&key, task);
                    if let Some(attempt) = attempt {
                        self.throttle(attempt, target);
                    }
                }
            }
        }
    }

    fn refuse(&self, task: &WaitingTask, refusal: NotAccepted, work: &mut Work) {
        lock(&self.waits).end(&task.key, task.task);
        let input = Input::Refused {
            key: task.key.clone(),
            task: task.task,
            refusal,
        };
        self.apply(shard_of(&task.key), input, work);
    }

    fn start(self: &Arc<Self>, start: StartTask) {
        self.measure_start(&start);
        self.record_attempt(
            EventKind::TaskStarted,
            &start.key,
            start.attempt,
            &start.target,
            None,
        );
        let engine = Arc::clone(self);
        self.tracker.spawn(async move {
            let end = engine.starter.run(&engine, &start).await;
            if matches!(end.result, TaskResult::NotStarted(_)) {
                // The slot stays taken for a moment, so that a busy or lost target is not asked again at once.
                let pause = OFFER_PAUSE * start.attempt.attempt.0;
                tokio::time::sleep(pause.min(MAX_OFFER_PAUSE)).await;
            }
            engine.learn(&start, &end);
            engine.end(&start.target, end);
        });
    }

    /// Records how long a started task waited since it was put into the queue.
    fn measure_start(&self, start: &StartTask) {
        let since = lock(&self.waits).end(&start.key, start.attempt.task);
        let wait = since.map_or(Duration::ZERO, |since| self.clock.now().since(since));
        let is_long = self.table.classes().is_long(&start.service, &start.spec.class);
        let length = if is_long {
            TaskLength::Long
        } else {
            TaskLength::Short
        };
        self.metrics.task_started(length, wait);
    }

    /// Asks a target to slow down a long attempt, so that short work passes.
    fn throttle(self: &Arc<Self>, attempt: AttemptId, target: TargetId) {
        let engine = Arc::clone(self);
        self.tracker
            .spawn(async move { engine.starter.throttle(&engine, attempt, &target).await });
    }

    /// Finds out what became of an attempt of an earlier home.
    fn query(self: &Arc<Self>, key: JobKey, attempt: AttemptId, target: TargetId, incarnation: Incarnation) {
        let engine = Arc::clone(self);
        self.tracker.spawn(async move {
            let end = engine
                .starter
                .query(&engine, key, attempt, &target, incarnation)
                .await;
            engine.end(&target, end);
        });
    }

    fn end(self: &Arc<Self>, target: &TargetId, end: TaskEnd) {
        let detail = Some(end.result.outcome().to_string());
        self.record_attempt(EventKind::TaskEnded, &end.key, end.attempt, target, detail);
        let mut work = Work::with_dispatch();
        self.apply(shard_of(&end.key), Input::Ended(end), &mut work);
        self.settle(work);
    }

    /// Gives back the slot of an ended attempt and learns from its end.
    fn learn(&self, start: &StartTask, end: &TaskEnd) {
        if self.return_borrowed_slot(start, end) {
            return;
        }
        let result = match end.result {
            TaskResult::Completed(_) => AttemptResult::Completed,
            TaskResult::Failed(_) => AttemptResult::Failed,
            TaskResult::NotStarted(_) => AttemptResult::NotStarted,
            TaskResult::Unknown(_) => AttemptResult::Unknown,
        };
        let ended = EndedAttempt {
            key: start.key.clone(),
            task: start.attempt.task,
            service: start.service.clone(),
            class: start.spec.class.clone(),
            target: start.target.clone(),
            result,
            run_time: end.run_time,
        };
        lock(&self.queue).end_attempt(self.clock.now(), &self.table, &ended);
    }

    fn record_attempt(
        &self,
        kind: EventKind,
        key: &JobKey,
        attempt: AttemptId,
        target: &TargetId,
        detail: Option<String>,
    ) {
        let mut event = self.events.event(kind);
        event.key = Some(key.clone());
        event.attempt = Some(attempt);
        event.target = Some(target.clone());
        event.detail = detail;
        self.events.record(event);
    }
}
