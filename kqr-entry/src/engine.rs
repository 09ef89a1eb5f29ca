use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use kqr_jobs::{
    CallerId, Input, JobAnswer, Machine, Member, NotAccepted, Outcome, Output, RefusalReason, StartTask,
    Submission, Submit,
};
use kqr_placement::Table;
use kqr_telemetry::{EventKind, EventLog};
use kqr_types::{
    CellMember, CellView, Epoch, Incarnation, InstanceId, Instant, JobKey, KeyDigest, MemberState, TargetId,
};
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;

use crate::{
    clock::Clock,
    queue::{Dispatched, Queue},
    starter::Starter,
};

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
    queue: Mutex<Queue>,
    callers: Mutex<BTreeMap<CallerId, oneshot::Sender<Answer>>>,
    next_caller: AtomicU64,
}

impl Engine {
    /// Creates an engine without jobs and targets.
    pub fn new(clock: Clock, events: EventLog, own: InstanceId) -> Self {
        let shards = (0..SHARDS)
            .map(|_| Mutex::new(solitary_machine(clock.now(), own.clone())))
            .collect();
        Self {
            clock,
            table: Table::new(),
            events,
            tracker: TaskTracker::new(),
            starter: Starter::new(),
            shards,
            queue: Mutex::default(),
            callers: Mutex::default(),
            next_caller: AtomicU64::new(1),
        }
    }

    /// Submits a job and waits for its answer, or for its present state if `is_waiting` is false.
    pub async fn submit(self: &Arc<Self>, submission: Submission, is_waiting: bool) -> Answer {
        let key = submission.key.clone();
        if !is_waiting {
            self.handle(
                &key,
                Input::Submit(Submit {
                    caller: None,
                    submission,
                }),
            );
            return self.lookup(key).await;
        }
        let (caller, rx) = self.new_caller();
        self.handle(
            &key,
            Input::Submit(Submit {
                caller: Some(caller),
                submission,
            }),
        );
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
            let now = self.clock.now();
            let mut machine = lock(&self.shards[index]);
            machine.handle(now, Input::Tick, &mut outputs);
            machine.handle(now, Input::Flush, &mut outputs);
            drop(machine);
            self.perform(outputs);
        }
        self.dispatch();
    }

    /// Hands an input to the machine of `key` and performs its effects.
    pub fn handle(self: &Arc<Self>, key: &JobKey, input: Input) {
        let shard = KeyDigest::of(key).0 as usize % SHARDS;
        let mut outputs = Vec::new();
        let now = self.clock.now();
        let mut machine = lock(&self.shards[shard]);
        machine.handle(now, input, &mut outputs);
        machine.handle(now, Input::Flush, &mut outputs);
        drop(machine);
        self.perform(outputs);
    }

    /// Gives waiting tasks to free slots.
    pub fn dispatch(self: &Arc<Self>) {
        let dispatched = lock(&self.queue).dispatch(&self.table);
        for item in dispatched {
            match item {
                Dispatched::Placed(task, target, incarnation) => {
                    let input = Input::Placed {
                        key: task.key.clone(),
                        task: task.task,
                        target,
                        incarnation,
                    };
                    self.handle(&task.key, input);
                }
                Dispatched::Impossible(task, failure) => {
                    let refusal = NotAccepted {
                        reason: RefusalReason::NoSuitableTarget,
                        outcome: Outcome::NotRun,
                        retry_after: None,
                        detail: format!(
                            "no target of service {} can run the task: {failure:?}",
                            task.service
                        ),
                    };
                    let input = Input::Refused {
                        key: task.key.clone(),
                        task: task.task,
                        refusal,
                    };
                    self.handle(&task.key, input);
                }
            }
        }
    }

    /// Gives back a slot that was taken for a task.
    pub fn release_slot(self: &Arc<Self>, target: &TargetId) {
        if let Some(target) = self.table.get(target) {
            target.release_slot();
        }
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
                    lock(&self.queue).push(tasks);
                    is_dispatch_due = true;
                }
                Output::Withdraw { key } => lock(&self.queue).withdraw(&key),
                Output::ReleaseSlot { target } => {
                    self.release_slot(&target);
                    is_dispatch_due = true;
                }
                Output::Start(start) => self.start(*start),
                Output::Stop { attempt, target } => {
                    let engine = Arc::clone(self);
                    let stop = async move { engine.starter.stop(&engine, attempt, &target).await };
                    self.tracker.spawn(stop);
                }
                // The cell has one member: there is no peer, and no earlier home.
                Output::Query { .. } | Output::Send { .. } | Output::Synced { .. } => {}
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
            engine.release_slot(&start.target);
            engine.handle(&start.key, Input::Ended(end));
            engine.dispatch();
        });
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

/// Creates a machine whose cell has this instance as its only member.
fn solitary_machine(now: Instant, own: InstanceId) -> Machine {
    let options = kqr_jobs::Options {
        cold_start_window: Duration::ZERO,
        ..kqr_jobs::Options::default()
    };
    let member = Member {
        id: own,
        incarnation: Incarnation(1),
    };
    let view = CellView {
        epoch: Epoch(1),
        members: vec![CellMember {
            id: member.id.clone(),
            incarnation: member.incarnation,
            weight: 1,
            state: MemberState::Full,
        }],
    };
    let mut machine = Machine::new(member, options);
    let mut outputs = Vec::new();
    machine.handle(now, Input::Epoch(view), &mut outputs);
    machine.handle(now, Input::Lease { until: Instant::MAX }, &mut outputs);
    machine.handle(now, Input::Flush, &mut outputs);
    machine
}

/// Locks `mutex`, also if a holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
