//! Performs the effects of the job machines and of the admission queue.

use std::{sync::Arc, time::Duration};

use kqr_admission::{AttemptResult, EndedAttempt, Output as QueueOutput};
use kqr_jobs::{
    Input, NotAccepted, Outcome, Output, RefusalReason, StartTask, TaskEnd, TaskResult, WaitingTask,
};
use kqr_telemetry::{EventKind, TaskLength};
use kqr_types::{AttemptId, Incarnation, JobKey, TargetId};
use kqr_wire::entry_message::EntryMessage;

use super::{Engine, lock, pending_work::PendingWork, pending_work::ShardIndex, shard_of};

/// Time for which a slot stays occupied after its target did not start a task, for each attempt of the task
/// so far.
const NOT_STARTED_PAUSE_STEP: Duration = Duration::from_millis(10);
/// Longest time for which a slot stays occupied after its target did not start a task.
const MAX_NOT_STARTED_PAUSE: Duration = Duration::from_millis(200);

impl Engine {
    /// Passes an input to the job machine of a shard and appends its effects to `work`.
    pub(super) fn apply(&self, shard: ShardIndex, input: Input, work: &mut PendingWork) {
        let mut outputs = Vec::new();
        lock(&self.shards[shard.0]).handle(self.clock.now(), input, &mut outputs);
        work.mark_unflushed(shard);
        work.push_outputs(shard, outputs);
    }

    /// Performs `work` and the work that it causes until none is left. Changes are sent to the other members
    /// after waiting tasks were placed, so that a submission and its first placements travel in one message.
    pub(super) fn process(self: &Arc<Self>, mut work: PendingWork) {
        loop {
            while let Some((shard, output)) = work.pop_output() {
                self.perform(shard, output, &mut work);
            }
            if std::mem::take(&mut work.is_dispatch_due) {
                let mut outputs = Vec::new();
                lock(&self.queue).dispatch(self.clock.now(), &self.table, &mut outputs);
                self.perform_queue(outputs, &mut work);
                self.borrow_slots();
                continue;
            }
            let Some(shard) = work.pop_unflushed() else {
                return;
            };
            let mut outputs = Vec::new();
            lock(&self.shards[shard.0]).handle(self.clock.now(), Input::Flush, &mut outputs);
            work.push_outputs(shard, outputs);
        }
    }

    fn perform(self: &Arc<Self>, shard: ShardIndex, output: Output, work: &mut PendingWork) {
        match output {
            Output::Enqueue(tasks) => {
                let now = self.clock.now();
                lock(&self.waits).start(now, &tasks);
                lock(&self.borrowed).add_waiting_services(&tasks);
                lock(&self.queue).push(now, &self.table, tasks);
                work.is_dispatch_due = true;
            }
            Output::Withdraw { key } => {
                lock(&self.waits).remove_job(&key);
                lock(&self.borrowed).withdraw(&key);
                lock(&self.queue).withdraw([&key]);
            }
            Output::ReleaseSlot { key, task, target } => {
                self.release_slot(&key, task, &target);
                work.is_dispatch_due = true;
            }
            Output::Start(start) => self.start_attempt(*start),
            Output::Stop { attempt, target } => {
                let engine = Arc::clone(self);
                self.tracker
                    .spawn(async move { engine.task_client.stop(&engine, attempt, &target).await });
            }
            Output::Query {
                key,
                attempt,
                target,
                incarnation,
            } => self.query_attempt(key, attempt, target, incarnation),
            Output::Send { to, message } => self.outbox.enqueue(
                &to,
                EntryMessage::Jobs {
                    shard: shard.0 as u16,
                    message,
                },
            ),
            Output::Synced { epoch } => {
                if let Some(epoch) = lock(&self.sync_reports).record(shard, epoch) {
                    self.synced.send_replace(epoch);
                }
            }
            Output::Reply { caller, answer } => self.waiters.answer(caller, answer),
        }
    }

    /// Performs the effects of the admission queue.
    pub(super) fn perform_queue(self: &Arc<Self>, outputs: Vec<QueueOutput>, work: &mut PendingWork) {
        for output in outputs {
            match output {
                QueueOutput::Placed(task, target) => {
                    let current = self.table.get(&target);
                    // If the target has left meanwhile, the default incarnation matches none, so that no start
                    // is sent.
                    let incarnation =
                        current.map_or(Incarnation::default(), |current| current.announcement.incarnation);
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
                    self.refuse_task(&task, refusal, work);
                }
                QueueOutput::Refused(task, refusal) => self.refuse_task(&task, refusal, work),
                QueueOutput::Throttle { key, task, target } => {
                    let attempt = lock(&self.shards[shard_of(&key).0]).running_attempt(&key, task);
                    if let Some(attempt) = attempt {
                        self.throttle_attempt(attempt, target);
                    }
                }
            }
        }
    }

    fn refuse_task(&self, task: &WaitingTask, refusal: NotAccepted, work: &mut PendingWork) {
        lock(&self.waits).finish(&task.key, task.task);
        let input = Input::Refused {
            key: task.key.clone(),
            task: task.task,
            refusal,
        };
        self.apply(shard_of(&task.key), input, work);
    }

    fn start_attempt(self: &Arc<Self>, start: StartTask) {
        self.record_queue_wait(&start);
        self.record_attempt(
            EventKind::TaskStarted,
            &start.key,
            start.attempt,
            &start.target,
            None,
        );
        let engine = Arc::clone(self);
        self.tracker.spawn(async move {
            let end = engine.task_client.run(&engine, &start).await;
            if matches!(end.result, TaskResult::NotStarted(_)) {
                // The slot stays occupied for a while, so that a busy or lost target is not offered a task
                // again at once.
                let pause = NOT_STARTED_PAUSE_STEP * start.attempt.attempt.0;
                tokio::time::sleep(pause.min(MAX_NOT_STARTED_PAUSE)).await;
            }
            engine.release_and_record(&start, &end);
            engine.finish_attempt(&start.target, end);
        });
    }

    /// Records in the metrics how long a started task waited in the queue.
    fn record_queue_wait(&self, start: &StartTask) {
        let started_at = lock(&self.waits).finish(&start.key, start.attempt.task);
        let wait = started_at.map_or(Duration::ZERO, |started_at| self.clock.now().since(started_at));
        let is_long = self.table.classes().is_long(&start.service, &start.spec.class);
        let length = if is_long {
            TaskLength::Long
        } else {
            TaskLength::Short
        };
        self.metrics.record_task_start(length, wait);
    }

    /// Requests a target to slow down a long attempt in favour of short work.
    fn throttle_attempt(self: &Arc<Self>, attempt: AttemptId, target: TargetId) {
        let engine = Arc::clone(self);
        self.tracker
            .spawn(async move { engine.task_client.throttle(&engine, attempt, &target).await });
    }

    /// Queries the result of an attempt that an earlier home may have started.
    fn query_attempt(
        self: &Arc<Self>,
        key: JobKey,
        attempt: AttemptId,
        target: TargetId,
        incarnation: Incarnation,
    ) {
        let engine = Arc::clone(self);
        self.tracker.spawn(async move {
            let end = engine
                .task_client
                .query(&engine, key, attempt, &target, incarnation)
                .await;
            engine.finish_attempt(&target, end);
        });
    }

    /// Passes the result of an attempt to the job machine of its key.
    fn finish_attempt(self: &Arc<Self>, target: &TargetId, end: TaskEnd) {
        let detail = Some(end.result.outcome().to_string());
        self.record_attempt(EventKind::TaskEnded, &end.key, end.attempt, target, detail);
        let mut work = PendingWork::with_dispatch();
        self.apply(shard_of(&end.key), Input::Ended(end), &mut work);
        self.process(work);
    }

    /// Releases the slot of an ended attempt and records its result and run time for the target.
    fn release_and_record(&self, start: &StartTask, end: &TaskEnd) {
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
        let mut event = self.events.new_event(kind);
        event.key = Some(key.clone());
        event.attempt = Some(attempt);
        event.target = Some(target.clone());
        event.detail = detail;
        self.events.record(event);
    }
}
