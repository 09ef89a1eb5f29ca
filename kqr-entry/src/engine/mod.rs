//! The jobs, the admission queue and the targets of this instance, and the effects of their state machines.

mod borrowed_slots;
mod calls;
mod effects;
mod gauges;
mod lent_slots;
mod loans;
mod pending_work;
mod sync_reports;
mod wait_tracker;
mod waiters;

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
    borrowed_slots::BorrowedSlots, lent_slots::LentSlots, pending_work::PendingWork,
    sync_reports::SyncReports, wait_tracker::WaitTracker, waiters::Waiters,
};
pub use self::{pending_work::ShardIndex, waiters::Answer};
use crate::{
    clock::Clock, limits::Limits, live_settings::LiveSettings, outbox::Outbox, task_client::TaskClient,
};

/// Number of shards that the jobs are divided into, each with its own lock. Must be the same at all entries.
const SHARD_COUNT: usize = 16;

/// Interval between ticks of shards without live jobs.
const FULL_TICK_PERIOD: Duration = Duration::from_millis(500);

/// Assumed run time of a task that declares none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(500);
/// Multiple of its declared run time that an attempt may always take, since declared run times can be far
/// off.
const OVERRUN_FACTOR: u32 = 8;

/// The jobs, the admission queue and the targets of this instance.
#[derive(Debug)]
pub struct Engine {
    /// Clock of the state machines.
    pub clock: Clock,
    /// The targets.
    pub table: Table,
    /// Event log of this process.
    pub events: Arc<EventLog>,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Tasks of the async runtime that must end before the process exits.
    pub tracker: TaskTracker,
    task_client: TaskClient,
    outbox: Arc<Outbox>,
    /// The current settings.
    pub settings: Arc<LiveSettings>,
    shards: Vec<Mutex<Machine>>,
    queue: Mutex<AdmissionQueue>,
    arrivals: Mutex<BTreeMap<TeamName, u32>>,
    waits: Mutex<WaitTracker>,
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
    /// Creates an engine without jobs or targets.
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
        let new_machine = || Mutex::new(Machine::new(own.clone(), options.clone()));
        Self {
            clock,
            table: Table::with_leased_slots(),
            events,
            metrics,
            tracker: TaskTracker::new(),
            task_client: TaskClient::new(),
            outbox,
            settings,
            shards: (0..SHARD_COUNT).map(|_| new_machine()).collect(),
            queue: Mutex::new(AdmissionQueue::new(kqr_admission::Options::default())),
            arrivals: Mutex::default(),
            waits: Mutex::default(),
            borrowed: Mutex::default(),
            lent: Mutex::default(),
            waiters: Waiters::default(),
            sync_reports: Mutex::new(SyncReports::new(SHARD_COUNT)),
            synced: watch::Sender::new(Epoch(0)),
            view: ArcSwap::default(),
            lease_until: AtomicU64::new(0),
            next_full_tick: AtomicU64::new(0),
        }
    }

    /// Sets the share of a team's quota that this instance may admit, or removes the team's quota.
    pub fn set_quota(&self, now: Instant, team: &TeamName, quota: Option<Quota>) {
        lock(&self.queue).set_quota(now, team, quota);
    }

    /// Returns the number of tasks that each team submitted since the last call.
    pub fn take_arrivals(&self) -> BTreeMap<TeamName, u32> {
        std::mem::take(&mut *lock(&self.arrivals))
    }

    /// Returns the time after which an attempt that has not ended is given up: the remaining time until the
    /// caller's deadline, the task lease or a multiple of the declared run time, whichever is longest.
    pub fn attempt_timeout(&self, key: &JobKey, task: TaskIndex) -> Duration {
        let bounds = lock(&self.shards[shard_of(key).0]).time_bounds(key, task);
        let settings = self.settings.current();
        let Some(bounds) = bounds else {
            return settings.data_centre_rules().task_lease.0;
        };
        let lease = settings.service_rules(&bounds.service).task_lease.0;
        let run_time = bounds.run_time.unwrap_or(DEFAULT_RUN_TIME);
        let remaining = bounds.deadline.since(self.clock.now());
        remaining.max(lease).max(run_time * OVERRUN_FACTOR)
    }

    /// Advances the state machines to the current time. Returns whether jobs are live or tasks wait.
    pub fn tick(self: &Arc<Self>) -> bool {
        let now = self.clock.now();
        let is_full_tick = self.is_full_tick_due(now);
        let mut is_live = false;
        for index in 0..SHARD_COUNT {
            let shard = ShardIndex(index);
            let is_shard_live = !lock(&self.shards[index]).is_idle();
            is_live |= is_shard_live;
            if is_full_tick || is_shard_live {
                self.handle_in_shard(shard, Input::Tick);
            }
        }
        let mut outputs = Vec::new();
        let mut queue = lock(&self.queue);
        queue.tick(self.clock.now(), &self.table, &mut outputs);
        is_live |= !queue.is_empty();
        drop(queue);
        let mut work = PendingWork::with_dispatch();
        self.tick_loans(&mut work);
        self.perform_queue(outputs, &mut work);
        self.process(work);
        is_live
    }

    /// Returns whether idle shards are due for a tick as well, and if so schedules the next one.
    fn is_full_tick_due(&self, now: Instant) -> bool {
        let due = self.next_full_tick.load(Ordering::Relaxed);
        if now < Instant(due) {
            return false;
        }
        self.next_full_tick
            .store((now + FULL_TICK_PERIOD).0, Ordering::Relaxed);
        true
    }

    /// Installs a membership view of the cell.
    pub fn install_view(self: &Arc<Self>, view: &CellView) {
        self.handle_in_all_shards(&Input::Epoch(view.clone()));
        self.view.store(Arc::new(view.clone()));
    }

    /// Returns the membership view of the cell that was installed last.
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
        self.handle_in_all_shards(&Input::Lease { until });
    }

    /// Returns the end of the lease of this member.
    pub fn lease_until(&self) -> Instant {
        Instant(self.lease_until.load(Ordering::Acquire))
    }

    /// Handles a message from the job machine of the same shard at another member.
    pub fn handle_message(
        self: &Arc<Self>,
        shard: ShardIndex,
        from: InstanceId,
        incarnation: Incarnation,
        message: JobMessage,
    ) {
        if shard.0 < SHARD_COUNT {
            self.handle_in_shard(
                shard,
                Input::Peer {
                    from,
                    incarnation,
                    message,
                },
            );
        }
    }

    /// Returns a receiver of the last epoch in which all shards completed their copies of the records.
    pub fn subscribe_synced_epoch(&self) -> watch::Receiver<Epoch> {
        self.synced.subscribe()
    }

    /// Passes an input to the job machine of `key` and performs its effects.
    pub fn handle(self: &Arc<Self>, key: &JobKey, input: Input) {
        self.handle_in_shard(shard_of(key), input);
    }

    /// Spawns a task that dispatches waiting tasks to free slots.
    pub fn spawn_dispatch(self: &Arc<Self>) {
        let engine = Arc::clone(self);
        tokio::spawn(async move {
            engine.process(PendingWork::with_dispatch());
        });
    }

    fn handle_in_all_shards(self: &Arc<Self>, input: &Input) {
        for index in 0..SHARD_COUNT {
            self.handle_in_shard(ShardIndex(index), input.clone());
        }
    }

    fn handle_in_shard(self: &Arc<Self>, shard: ShardIndex, input: Input) {
        let mut work = PendingWork::default();
        self.apply(shard, input, &mut work);
        self.process(work);
    }
}

fn shard_of(key: &JobKey) -> ShardIndex {
    ShardIndex(KeyDigest::of(key).0 as usize % SHARD_COUNT)
}

/// Locks `mutex` even if it is poisoned.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
