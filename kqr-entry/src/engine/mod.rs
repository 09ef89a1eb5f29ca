//! The jobs, the queue and the targets of this instance, and the effects of their machines.

mod borrowed_slots;
mod calls;
mod effects;
mod gauges;
mod lent_slots;
mod loans;
mod sync_reports;
mod waiters;
mod waits;
mod work;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use kqr_admission::{AdmissionQueue, Quota};
use kqr_jobs::{Input, JobMessage, Machine, Member};
use kqr_placement::Table;
use kqr_telemetry::{EventLog, Metrics};
use kqr_types::{CellView, Epoch, Incarnation, InstanceId, Instant, JobKey, KeyDigest, TaskIndex, TeamName};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use self::{
    borrowed_slots::BorrowedSlots, lent_slots::LentSlots, sync_reports::SyncReports, waiters::Waiters,
    waits::Waits, work::Work,
};
pub use self::{waiters::Answer, work::ShardIndex};
use crate::{clock::Clock, limits::Limits, live_settings::LiveSettings, outbox::Outbox, starter::Starter};

/// Number of parts that the jobs are divided into, each with a lock of its own. It must be the same in all entries.
const SHARDS: usize = 16;

/// Time between two ticks of shards without live jobs.
const FULL_TICK: Duration = Duration::from_millis(500);

/// Run time that is assumed for a task without a declared one.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(500);
/// Multiple of its declared run time for which a task is always waited for: declared run times may be far off.
const OVERRUN_FACTOR: u32 = 8;

/// The jobs, the queue and the targets of this instance.
#[derive(Debug)]
pub struct Engine {
    /// The clock of the machines.
    pub clock: Clock,
    /// The targets.
    pub table: Table,
    /// The events of this process.
    pub events: Arc<EventLog>,
    /// The measures of this process.
    pub metrics: Metrics,
    /// The tasks of the runtime that must end before the process does.
    pub tracker: TaskTracker,
    starter: Starter,
    outbox: Arc<Outbox>,
    /// The settings in force.
    pub settings: Arc<LiveSettings>,
    shards: Vec<Mutex<Machine>>,
    queue: Mutex<AdmissionQueue>,
    arrivals: Mutex<BTreeMap<TeamName, u32>>,
    waits: Mutex<Waits>,
    borrowed: Mutex<BorrowedSlots>,
    lent: Mutex<LentSlots>,
    waiters: Waiters,
    sync_reports: Mutex<SyncReports>,
    synced: watch::Sender<Epoch>,
    view: ArcSwap<CellView>,
    lease_until: AtomicU64,
    next_full_tick: AtomicU64,
}

impl Engine {
    /// Creates an engine without jobs and targets.
    pub fn new(
        clock: Clock,
        events: Arc<EventLog>,
        metrics: Metrics,
        own: &Member,
        limits: Limits,
        settings: Arc<LiveSettings>,
        outbox: Arc<Outbox>,
    ) -> Self {
        let options = kqr_jobs::Options {
            cold_start_window: limits.cold_start_window,
            tombstone_retention: limits.outcome_retention,
            ..kqr_jobs::Options::default()
        };
        let machine = || Mutex::new(Machine::new(own.clone(), options.clone()));
        Self {
            clock,
            table: Table::with_leased_slots(),
            events,
            metrics,
            tracker: TaskTracker::new(),
            starter: Starter::new(),
            outbox,
            settings,
            shards: (0..SHARDS).map(|_| machine()).collect(),
            queue: Mutex::new(AdmissionQueue::new(kqr_admission::Options::default())),
            arrivals: Mutex::default(),
            waits: Mutex::default(),
            borrowed: Mutex::default(),
            lent: Mutex::default(),
            waiters: Waiters::default(),
            sync_reports: Mutex::new(SyncReports::new(SHARDS)),
            synced: watch::Sender::new(Epoch(0)),
            view: ArcSwap::default(),
            lease_until: AtomicU64::new(0),
            next_full_tick: AtomicU64::new(0),
        }
    }

    /// Sets the part of a team's quota that this instance may admit, or removes it.
    pub fn set_quota(&self, now: Instant, team: &TeamName, quota: Option<Quota>) {
        lock(&self.queue).set_quota(now, team, quota);
    }

    /// Returns the number of tasks that each team sent since the last call.
    pub fn take_arrivals(&self) -> BTreeMap<TeamName, u32> {
        std::mem::take(&mut *lock(&self.arrivals))
    }

    /// Returns the time after which a task that does not end is given up: when its caller wants the answer, its lease has
    /// ended and it runs many times longer than declared.
    pub fn attempt_timeout(&self, key: &JobKey, task: TaskIndex) -> Duration {
        let bounds = lock(&self.shards[shard_of(key).0]).time_bounds(key, task);
        let settings = self.settings.current();
        let Some(bounds) = bounds else {
            return settings.data_centre_rules().task_lease.0;
        };
        let lease = settings.service_rules(&bounds.service).task_lease.0;
        let run_time = bounds.run_time.unwrap_or(DEFAULT_RUN_TIME);
        let left = bounds.deadline.since(self.clock.now());
        left.max(lease).max(run_time * OVERRUN_FACTOR)
    }

    /// Lets the machines see that time has passed. Returns whether jobs are live or tasks wait.
    pub fn tick(self: &Arc<Self>) -> bool {
        let now = self.clock.now();
        let is_full_tick = self.is_full_tick_due(now);
        let mut is_live = false;
        for index in 0..SHARDS {
            let shard = ShardIndex(index);
            let is_shard_live = !lock(&self.shards[index]).is_idle();
            is_live |= is_shard_live;
            if is_full_tick || is_shard_live {
                self.handle_at(shard, Input::Tick);
            }
        }
        let mut outputs = Vec::new();
        let mut queue = lock(&self.queue);
        queue.tick(self.clock.now(), &self.table, &mut outputs);
        is_live |= !queue.is_empty();
        drop(queue);
        let mut work = Work::with_dispatch();
        self.tick_loans(&mut work);
        self.perform_queue(outputs, &mut work);
        self.settle(work);
        is_live
    }

    /// Returns whether idle shards must see the time as well.
    fn is_full_tick_due(&self, now: Instant) -> bool {
        let due = self.next_full_tick.load(Ordering::Relaxed);
        if now < Instant(due) {
            return false;
        }
        self.next_full_tick.store((now + FULL_TICK).0, Ordering::Relaxed);
        true
    }

    /// Installs a view of the cell.
    pub fn install_view(self: &Arc<Self>, view: &CellView) {
        self.handle_all(&Input::Epoch(view.clone()));
        self.view.store(Arc::new(view.clone()));
    }

    /// Returns the view of the cell that was installed last.
    pub fn view(&self) -> Arc<CellView> {
        self.view.load_full()
    }

    /// Returns whether this member may act as the home of keys.
    pub fn is_ready(&self) -> bool {
        self.shards.iter().all(|shard| lock(shard).is_active())
    }

    /// Extends the lease of this member.
    pub fn extend_lease(self: &Arc<Self>, until: Instant) {
        self.lease_until.store(until.0, Ordering::Release);
        self.handle_all(&Input::Lease { until });
    }

    /// Returns the end of the lease of this member.
    pub fn lease_until(&self) -> Instant {
        Instant(self.lease_until.load(Ordering::Acquire))
    }

    /// Takes in a message of the same shard of another member.
    pub fn handle_message(
        self: &Arc<Self>,
        shard: ShardIndex,
        from: InstanceId,
        incarnation: Incarnation,
        message: JobMessage,
    ) {
        if shard.0 < SHARDS {
            self.handle_at(
                shard,
                Input::Peer {
                    from,
                    incarnation,
                    message,
                },
            );
        }
    }

    /// Returns the epoch in which the copies of all shards were completed last.
    pub fn subscribe_synced_epoch(&self) -> watch::Receiver<Epoch> {
        self.synced.subscribe()
    }

    /// Hands an input to the machine of `key` and performs its effects.
    pub fn handle(self: &Arc<Self>, key: &JobKey, input: Input) {
        self.handle_at(shard_of(key), input);
    }

    /// Gives waiting tasks to free slots, later on another thread.
    pub fn spawn_dispatch(self: &Arc<Self>) {
        let engine = Arc::clone(self);
        tokio::spawn(async move {
            engine.settle(Work::with_dispatch());
        });
    }

    fn handle_all(self: &Arc<Self>, input: &Input) {
        for index in 0..SHARDS {
            self.handle_at(ShardIndex(index), input.clone());
        }
    }

    fn handle_at(self: &Arc<Self>, shard: ShardIndex, input: Input) {
        let mut work = Work::default();
        self.apply(shard, input, &mut work);
        self.settle(work);
    }
}

fn shard_of(key: &JobKey) -> ShardIndex {
    ShardIndex(KeyDigest::of(key).0 as usize % SHARDS)
}

/// Locks `mutex`, also if a holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
