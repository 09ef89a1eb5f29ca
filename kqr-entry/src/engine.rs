use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use kqr_admission::{AdmissionQueue, Ended, Output as QueueOutput, Verdict};
use kqr_jobs::{
    CallerId, Input, JobAnswer, Machine, NotAccepted, Outcome, Output, RefusalReason, StartTask, Submission,
    Submit, TaskEnd, TaskResult, WaitingTask,
};
use kqr_placement::Table;
use kqr_telemetry::{EventKind, EventLog};
use kqr_types::{JobKey, KeyDigest};
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;

use crate::{clock::Clock, starter::Starter};

/// Number of parts that the jobs are divided into, each with a lock of its own.
const SHARDS: usize = 16;

/// Answer of a job or the refusal of a submission.
pub type Answer = Result<JobAnswer, NotAccepted>;

/// The jobs, the queue and the targets of this instance.
#[derive(Debug)]
pub struct Engine {
    /// The clock of the machines.
    pub clock: Clock,
    /// The targets.
    pub table: Table,
    /// The events of this process.
    pub events: EventLog,
    /// The tasks of the runtime that must end before the process does.
    pub tracker: TaskTracker,
    starter: Starter,
    shards: Vec<Mutex<Machine>>,
    queue: Mutex<AdmissionQueue>,
    callers: Mutex<BTreeMap<CallerId, oneshot::Sender<Answer>>>,
    next_caller: AtomicU64,
}

impl Engine {
    /// Creates an engine without jobs and targets.
    pub fn new(clock: Clock, events: EventLog) -> Self {
        let shards = (0..SHARDS)
            .map(|_| Mutex::new(Machine::new(kqr_jobs::Options::default())))
            .collect();
        Self {
            clock,
            table: Table::new(),
            events,
            tracker: TaskTracker::new(),
            starter: Starter::new(),
            shards,
            queue: Mutex::new(AdmissionQueue::new(kqr_admission::Options::default())),
            callers: Mutex::default(),
            next_caller: AtomicU64::new(1),
        }
    }

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
        let (caller, rx) = self.new_caller();
        if let Err(refusal) = self.admit(Some(caller), submission) {
            lock(&self.callers).remove(&caller);
            return Err(refusal);
        }
        self.wait(&key, caller, rx).await
    }

    /// Returns the answer or the present state of a job.
    pub async fn lookup(self: &Arc<Self>, key: JobKey) -> Answer {
        let (caller, rx) = self.new_caller();
        self.handle(
            &key,
            Input::Lookup {
                key: key.clone(),
                caller,
            },
        );
        self.wait(&key, caller, rx).await
    }

    /// Cancels a job and waits for its answer.
    pub async fn cancel(self: &Arc<Self>, key: JobKey) -> Answer {
        let (caller, rx) = self.new_caller();
        self.handle(
            &key,
            Input::Cancel {
                key: key.clone(),
                caller,
            },
        );
        self.wait(&key, caller, rx).await
    }

    /// Lets the machines see that time has passed.
    pub fn tick(self: &Arc<Self>) {
        for index in 0..SHARDS {
            let mut outputs = Vec::new();
            lock(&self.shards[index]).handle(self.clock.now(), Input::Tick, &mut outputs);
            self.perform(outputs);
        }
        let mut outputs = Vec::new();
        lock(&self.queue).tick(self.clock.now(), &self.table, &mut outputs);
        self.perform_queue(outputs);
        self.dispatch();
    }

    /// Hands an input to the machine of `key` and performs its effects.
    pub fn handle(self: &Arc<Self>, key: &JobKey, input: Input) {
        let mut outputs = Vec::new();
        self.shard(key).handle(self.clock.now(), input, &mut outputs);
        self.perform(outputs);
    }

    /// Hands a submission to the machine of its key. A job that is not known yet must pass the admission.
    fn admit(self: &Arc<Self>, caller: Option<CallerId>, submission: Submission) -> Result<(), NotAccepted> {
        let now = self.clock.now();
        let mut outputs = Vec::new();
        let mut machine = self.shard(&submission.key);
        if !machine.knows(&submission.key) {
            lock(&self.queue).admit(now, &self.table, &submission)?;
        }
        machine.handle(now, Input::Submit(Submit { caller, submission }), &mut outputs);
        drop(machine);
        self.perform(outputs);
        Ok(())
    }

    fn shard(&self, key: &JobKey) -> MutexGuard<'_, Machine> {
        lock(&self.shards[KeyDigest::of(key).0 as usize % SHARDS])
    }

    /// Gives waiting tasks to free slots.
    pub fn dispatch(self: &Arc<Self>) {
        let mut outputs = Vec::new();
        lock(&self.queue).dispatch(self.clock.now(), &self.table, &mut outputs);
        self.perform_queue(outputs);
    }

    /// Performs the effects of the queue.
    fn perform_queue(self: &Arc<Self>, outputs: Vec<QueueOutput>) {
        for output in outputs {
            match output {
                QueueOutput::Placed(task, target) => {
                    let input = Input::Placed {
                        key: task.key.clone(),
                        task: task.task,
                        target,
                    };
                    self.handle(&task.key, input);
                }
                QueueOutput::Impossible(task, failure) => {
                    let refusal = NotAccepted {
                        reason: RefusalReason::NoSuitableTarget,
                        outcome: Outcome::NotRun,
                        retry_after: None,
                        detail: format!("service {}: {failure}", task.service),
                    };
                    self.refuse(&task, refusal);
                }
                QueueOutput::Refused(task, refusal) => self.refuse(&task, refusal),
                QueueOutput::Throttle { key, task, target } => {
                    log::debug!("task {task} of {key} at {target} is long and should make room");
                }
            }
        }
    }

    fn refuse(self: &Arc<Self>, task: &WaitingTask, refusal: NotAccepted) {
        let input = Input::Refused {
            key: task.key.clone(),
            task: task.task,
            refusal,
        };
        self.handle(&task.key, input);
    }

    /// Gives waiting tasks to free slots, later on another thread.
    pub fn dispatch_soon(self: &Arc<Self>) {
        let engine = Arc::clone(self);
        tokio::spawn(async move { engine.dispatch() });
    }

    /// Returns the number of waiting tasks.
    pub fn waiting_tasks(&self) -> usize {
        lock(&self.queue).len()
    }

    /// Returns the number of jobs that have not ended.
    pub fn live_jobs(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).live_jobs()).sum()
    }

    fn perform(self: &Arc<Self>, outputs: Vec<Output>) {
        let mut is_dispatch_due = false;
        for output in outputs {
            match output {
                Output::Enqueue(tasks) => {
                    lock(&self.queue).push(self.clock.now(), &self.table, tasks);
                    is_dispatch_due = true;
                }
                Output::Withdraw { key } => lock(&self.queue).withdraw([&key]),
                Output::ReleaseSlot { target } => {
                    self.table.release(&target);
                    is_dispatch_due = true;
                }
                Output::Start(start) => self.start(*start),
                Output::Stop { attempt, target } => {
                    let engine = Arc::clone(self);
                    let stop = async move { engine.starter.stop(&engine, attempt, &target).await };
                    self.tracker.spawn(stop);
                }
                Output::Reply { caller, answer } => {
                    if let Some(tx) = lock(&self.callers).remove(&caller) {
                        let _ = tx.send(answer);
                    }
                }
            }
        }
        if is_dispatch_due {
            self.dispatch();
        }
    }

    fn start(self: &Arc<Self>, start: StartTask) {
        let mut event = self.events.event(EventKind::TaskStarted);
        event.key = Some(start.key.clone());
        event.attempt = Some(start.attempt);
        event.target = Some(start.target.clone());
        self.events.record(event);
        let engine = Arc::clone(self);
        self.tracker.spawn(async move {
            let end = engine.starter.run(&engine, &start).await;
            let mut event = engine.events.event(EventKind::TaskEnded);
            event.key = Some(start.key.clone());
            event.attempt = Some(start.attempt);
            event.target = Some(start.target.clone());
            event.detail = Some(end.result.outcome().to_string());
            engine.events.record(event);
            engine.learn(&start, &end);
            engine.handle(&start.key, Input::Ended(end));
            engine.dispatch();
        });
    }

    /// Gives back the slot of an ended attempt and learns from its end.
    fn learn(&self, start: &StartTask, end: &TaskEnd) {
        let verdict = match end.result {
            TaskResult::Completed(_) => Verdict::Completed,
            TaskResult::Failed(_) => Verdict::Failed,
            TaskResult::NotStarted(_) => Verdict::NotStarted,
            TaskResult::Unknown(_) => Verdict::Unknown,
        };
        let ended = Ended {
            key: start.key.clone(),
            task: start.attempt.task,
            service: start.service.clone(),
            class: start.spec.class.clone(),
            target: start.target.clone(),
            verdict,
            run_time: end.run_time,
        };
        lock(&self.queue).ended(self.clock.now(), &self.table, &ended);
    }

    fn new_caller(&self) -> (CallerId, oneshot::Receiver<Answer>) {
        let caller = CallerId(self.next_caller.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        lock(&self.callers).insert(caller, tx);
        (caller, rx)
    }

    async fn wait(self: &Arc<Self>, key: &JobKey, caller: CallerId, rx: oneshot::Receiver<Answer>) -> Answer {
        let guard = CallerGuard {
            engine: Arc::clone(self),
            key: key.clone(),
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
struct CallerGuard {
    engine: Arc<Engine>,
    key: JobKey,
    caller: CallerId,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let is_waiting = lock(&self.engine.callers).remove(&self.caller).is_some();
        if is_waiting {
            self.engine.handle(
                &self.key,
                Input::Detach {
                    key: self.key.clone(),
                    caller: self.caller,
                },
            );
        }
    }
}

/// Locks `mutex`, also if a holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
