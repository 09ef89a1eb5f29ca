use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use kqr_dispatch::{
    CallId, Dispatcher, Input, JobEnd, JobRequest, Options, Output, TargetCall, TargetEndpoint,
};
use kqr_fleet::{Catalog, EntryInfo, TargetReport};
use kqr_telemetry::Metrics;
use kqr_types::{InstanceId, Instant, JobKey};
use tokio::sync::{Notify, oneshot};

use super::{TargetClient, decision_log, decision_metrics, job_guard::JobGuard, sibling_link::SiblingLink};
use crate::BootClock;

/// Maximum number of calls that wait for the first catalog. Each occupies some KiB in the buffers of its
/// connection.
const MAX_WAITING_CALLS: usize = 1000;

/// Channels to the callers that wait for a job, by job and waiter.
type Waiters = BTreeMap<JobKey, BTreeMap<u64, oneshot::Sender<JobEnd>>>;

/// Runs the [`Dispatcher`] of an entry and performs its outputs in order.
#[derive(Debug)]
pub struct EntryDriver<Client>
where
    Client: TargetClient,
{
    pub(super) own: EntryInfo,
    client: Client,
    clock: BootClock,
    sibling_timeout: Duration,
    is_link_limited: bool,
    dispatcher: Mutex<Dispatcher>,
    catalog: ArcSwapOption<Catalog>,
    /// Notified when a catalog is applied.
    catalog_applied: Notify,
    /// When no newer catalog was in force, as the leader confirmed later; `None` before it has confirmed any.
    catalog_confirmed_at: Mutex<Option<Instant>>,
    /// Number of calls that wait for the first catalog.
    waiting_calls: AtomicUsize,
    waiters: Mutex<Waiters>,
    next_waiter_id: AtomicU64,
    sibling_links: Mutex<BTreeMap<InstanceId, SiblingLink>>,
    is_leaving: AtomicBool,
    metrics: Metrics,
}

impl<Client> EntryDriver<Client>
where
    Client: TargetClient,
{
    /// Creates the driver of the entry `own`.
    pub(super) fn new(own: EntryInfo, options: Options, client: Client, metrics: Metrics) -> Self {
        Self {
            sibling_timeout: options.sibling_timeout,
            is_link_limited: options.link_rate.is_some(),
            dispatcher: Mutex::new(Dispatcher::new(own.clone(), options)),
            own,
            client,
            clock: BootClock,
            catalog: ArcSwapOption::empty(),
            catalog_applied: Notify::new(),
            catalog_confirmed_at: Mutex::default(),
            waiting_calls: AtomicUsize::new(0),
            waiters: Mutex::default(),
            next_waiter_id: AtomicU64::new(0),
            sibling_links: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            metrics,
        }
    }

    /// Returns the catalog in force, or `None` before the first catalog arrives.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load_full()
    }

    /// Returns the catalog in force, after waiting up to `limit` for the first one.
    ///
    /// Returns `None` if no catalog arrives in time, or too many calls wait already.
    pub async fn wait_for_catalog(&self, limit: Duration) -> Option<Arc<Catalog>> {
        if let Some(catalog) = self.catalog() {
            return Some(catalog);
        }
        if self.waiting_calls.fetch_add(1, Ordering::Relaxed) < MAX_WAITING_CALLS {
            let applied = self.catalog_applied.notified();
            // The waiter is created before the check, so that no notification is missed.
            if self.catalog.load().is_none() && tokio::time::timeout(limit, applied).await.is_err() {
                log::debug!("no catalog arrived within {limit:?}");
            }
        }
        self.waiting_calls.fetch_sub(1, Ordering::Relaxed);
        self.catalog()
    }

    /// Records that no newer catalog was in force at `at`.
    pub(super) fn confirm_catalog(&self, at: Instant) {
        *lock(&self.catalog_confirmed_at) = Some(at);
    }

    /// Returns the time since the leader confirmed that no newer catalog was in force, or `None` if it never has.
    pub fn catalog_age(&self) -> Option<Duration> {
        let confirmed_at = *lock(&self.catalog_confirmed_at);
        confirmed_at.map(|at| self.clock.now().since(at))
    }

    /// Returns whether the entry accepts new callers.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.catalog.load().is_some()
    }

    /// Returns whether the entry is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Returns the number of jobs that wait for the start of their first task.
    pub fn unstarted_job_count(&self) -> usize {
        self.dispatcher().unstarted_job_count()
    }

    /// Runs a job and returns how it ended. If the returned future is dropped, the caller no longer waits for
    /// the job; without any waiting caller the job is abandoned.
    pub async fn submit(self: &Arc<Self>, request: JobRequest) -> JobEnd {
        let job = request.key.clone();
        let (tx, rx) = oneshot::channel();
        let waiter = self.next_waiter_id.fetch_add(1, Ordering::Relaxed);
        lock(&self.waiters)
            .entry(job.clone())
            .or_default()
            .insert(waiter, tx);
        let guard = JobGuard {
            driver: Arc::clone(self),
            job,
            waiter,
        };
        self.handle_input(Input::Submit(request));
        let end = rx.await;
        drop(guard);
        end.unwrap_or(JobEnd::GivenUp(kqr_dispatch::GiveUp::Cancelled))
    }

    /// Cancels a job. Returns whether the job was in progress at this entry.
    pub fn cancel(self: &Arc<Self>, job: &JobKey) -> bool {
        let is_known = lock(&self.waiters).contains_key(job);
        if is_known {
            self.handle_input(Input::Cancel(job.clone()));
        }
        is_known
    }

    /// Returns the metrics in the text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn metrics_text(&self) -> eyre::Result<String> {
        let version = self.catalog().map(|catalog| catalog.version);
        let dispatcher = self.dispatcher();
        let (jobs, waiting_orders, targets) = (
            dispatcher.job_count(),
            dispatcher.waiting_order_count(),
            dispatcher.owned_target_count(),
        );
        drop(dispatcher);
        decision_metrics::set_gauges(&self.metrics, jobs, waiting_orders, targets, version);
        self.metrics.encode_text()
    }

    /// Handles the report of a target.
    pub fn handle_target_report(self: &Arc<Self>, report: TargetReport) {
        self.handle_input(Input::TargetReported(report));
    }

    /// Counts a report of a target that was refused because it can't be decoded or is out of range.
    pub fn count_refused_report(&self) {
        self.metrics.count_refused_report();
    }

    /// Begins the shutdown: no new callers are accepted, and targets are released as they become idle. Jobs
    /// that are still in progress after `time_left` are given up.
    pub(super) fn leave(self: &Arc<Self>, time_left: Duration) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.handle_input(Input::Leave { time_left });
    }

    /// Removes a waiting caller of a job. The job is abandoned when no caller is left.
    pub(super) fn remove_waiter(self: &Arc<Self>, job: &JobKey, waiter: u64) {
        let mut waiters = lock(&self.waiters);
        let Some(callers) = waiters.get_mut(job) else {
            return;
        };
        callers.remove(&waiter);
        if callers.is_empty() {
            waiters.remove(job);
            drop(waiters);
            self.handle_input(Input::Abandon(job.clone()));
        }
    }

    /// Applies a catalog, unless the catalog in force has the same or a higher version.
    pub(super) fn apply_catalog(&self, catalog: Catalog) {
        let is_newer = self
            .catalog()
            .is_none_or(|current| current.version < catalog.version);
        if is_newer {
            let fields = [
                ("version", catalog.version.to_string()),
                ("queues", catalog.queues.len().to_string()),
            ];
            kqr_telemetry::log_decision("catalog-applied", &fields);
            self.catalog.store(Some(Arc::new(catalog)));
            self.catalog_applied.notify_waiters();
        }
    }

    /// Handles one input and performs the resulting outputs.
    pub(super) fn handle_input(self: &Arc<Self>, input: Input) {
        let mut outputs = Vec::new();
        let mut dispatcher = self.dispatcher();
        dispatcher.handle(self.clock.now(), input, &mut outputs);
        let link_wait = dispatcher.link().timeout_extension();
        for output in outputs {
            self.perform_output(output, link_wait);
        }
    }

    /// Locks the dispatcher.
    pub(super) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        lock(&self.dispatcher)
    }

    /// Returns the time without a message after which a sibling counts as lost.
    pub(super) const fn sibling_timeout(&self) -> Duration {
        self.sibling_timeout
    }

    /// Returns whether the link of the machine has a known rate.
    pub(super) const fn is_link_limited(&self) -> bool {
        self.is_link_limited
    }

    pub(super) const fn clock(&self) -> BootClock {
        self.clock
    }

    /// Opens links to new siblings and closes the links to siblings that are gone.
    pub(super) fn update_sibling_links(self: &Arc<Self>) {
        let entries = self.dispatcher().siblings();
        let mut links = lock(&self.sibling_links);
        links.retain(|id, link| {
            let mut entries = entries.iter();
            entries.any(|entry| entry.id == *id && link.connects_to(entry))
        });
        for entry in &entries {
            if !links.contains_key(&entry.id) {
                links.insert(entry.id.clone(), SiblingLink::open(self, entry));
            }
        }
    }

    /// Performs an output. Timeouts of calls are extended by `link_wait`.
    fn perform_output(self: &Arc<Self>, output: Output, link_wait: Duration) {
        match output {
            Output::Call { id, endpoint, call } => {
                tokio::spawn(Arc::clone(self).call_target(id, endpoint, call, link_wait));
            }
            Output::Send { to, message } => {
                if let Some(link) = lock(&self.sibling_links).get(&to) {
                    link.send(message);
                }
            }
            Output::ResetLink { sibling } => {
                if let Some(link) = lock(&self.sibling_links).get(&sibling) {
                    link.reset();
                }
            }
            Output::JobEnded { job, end } => {
                let waiters = lock(&self.waiters).remove(&job).unwrap_or_default();
                for waiter in waiters.into_values() {
                    // The receiver is gone if the caller has just disconnected.
                    drop(waiter.send(end.clone()));
                }
            }
            Output::Decision(decision) => {
                decision_metrics::count(&self.metrics, &decision);
                decision_log::write(&decision);
            }
        }
    }

    /// Sends a call to a target and handles its answer as an input.
    async fn call_target(
        self: Arc<Self>,
        call: CallId,
        endpoint: TargetEndpoint,
        target_call: TargetCall,
        link_wait: Duration,
    ) {
        let input = match target_call {
            TargetCall::Start(start) => Input::StartAnswered {
                call,
                answer: self.client.start(endpoint, start, link_wait).await,
            },
            TargetCall::Stop(stop) => Input::StopAnswered {
                call,
                answer: self.client.stop(endpoint, stop, link_wait).await,
            },
            TargetCall::Poll(poll) => Input::PollAnswered {
                call,
                answer: self.client.poll(endpoint, poll, link_wait).await,
            },
        };
        self.handle_input(input);
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
