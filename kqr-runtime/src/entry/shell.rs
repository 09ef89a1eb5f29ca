use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use kqr_dispatch::{CallId, Dispatcher, Input, JobEnd, JobRequest, Options, Output, TargetCall, TargetPlace};
use kqr_fleet::{Catalog, EntryInfo, TargetReport};
use kqr_telemetry::Metrics;
use kqr_types::{InstanceId, JobKey};
use tokio::sync::{Notify, oneshot};

use super::{TargetPort, job_guard::JobGuard, mailbox::Mailbox, notes, observing};
use crate::BootClock;

/// Most calls that wait for the first catalog; each takes some KiB of its connection's buffers.
const MAX_HELD_CALLS: usize = 1000;

/// What a job's callers wait for.
type Waiters = BTreeMap<JobKey, BTreeMap<u64, oneshot::Sender<JobEnd>>>;

/// The shell around the decisions of an entry: performs their outputs in their order.
#[derive(Debug)]
pub struct Shell<Port>
where
    Port: TargetPort,
{
    pub(super) own: EntryInfo,
    port: Port,
    clock: BootClock,
    sibling_silence: Duration,
    machine: Mutex<Dispatcher>,
    catalog: ArcSwapOption<Catalog>,
    /// Told of the first catalog.
    catalog_known: Notify,
    /// Calls that wait for the first catalog.
    held_calls: AtomicUsize,
    waiters: Mutex<Waiters>,
    next_waiter: AtomicU64,
    mailboxes: Mutex<BTreeMap<InstanceId, Mailbox>>,
    is_leaving: AtomicBool,
    metrics: Metrics,
}

impl<Port> Shell<Port>
where
    Port: TargetPort,
{
    /// Creates the shell of the entry `own`.
    pub(super) fn new(own: EntryInfo, options: Options, port: Port, metrics: Metrics) -> Self {
        Self {
            sibling_silence: options.sibling_silence,
            machine: Mutex::new(Dispatcher::new(own.clone(), options)),
            own,
            port,
            clock: BootClock,
            catalog: ArcSwapOption::empty(),
            catalog_known: Notify::new(),
            held_calls: AtomicUsize::new(0),
            waiters: Mutex::default(),
            next_waiter: AtomicU64::new(0),
            mailboxes: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            metrics,
        }
    }

    /// Returns the catalog in force, or `None` before the first one.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load_full()
    }

    /// Returns the catalog in force. After the start of the process the first one is waited for, for `limit` at most.
    pub async fn first_catalog(&self, limit: Duration) -> Option<Arc<Catalog>> {
        if let Some(catalog) = self.catalog() {
            return Some(catalog);
        }
        if self.held_calls.fetch_add(1, Ordering::Relaxed) < MAX_HELD_CALLS {
            let known = self.catalog_known.notified();
            // The wait is created before the look, so that no notification is missed.
            if self.catalog.load().is_none() && tokio::time::timeout(limit, known).await.is_err() {
                log::debug!("no catalog came within {limit:?}");
            }
        }
        self.held_calls.fetch_sub(1, Ordering::Relaxed);
        self.catalog()
    }

    /// Returns whether the entry takes new callers.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.catalog.load().is_some()
    }

    /// Returns whether the entry is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Returns the number of jobs that wait for their first start.
    pub fn unstarted_jobs(&self) -> usize {
        self.machine().unstarted_jobs()
    }

    /// Runs a job to its end. If the returned future is dropped, the job is abandoned.
    pub async fn submit(self: &Arc<Self>, request: JobRequest) -> JobEnd {
        let job = request.key.clone();
        let (tx, rx) = oneshot::channel();
        let waiter = self.next_waiter.fetch_add(1, Ordering::Relaxed);
        lock(&self.waiters)
            .entry(job.clone())
            .or_default()
            .insert(waiter, tx);
        let guard = JobGuard {
            shell: Arc::clone(self),
            job,
            waiter,
        };
        self.handle(Input::Submit(request));
        let end = rx.await;
        drop(guard);
        end.unwrap_or(JobEnd::GivenUp(kqr_dispatch::GiveUp::Cancelled))
    }

    /// Cancels a job. Returns whether it was at work here.
    pub fn cancel(self: &Arc<Self>, job: &JobKey) -> bool {
        let is_known = lock(&self.waiters).contains_key(job);
        if is_known {
            self.handle(Input::Cancel(job.clone()));
        }
        is_known
    }

    /// Returns the metrics in their text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn metrics(&self) -> eyre::Result<String> {
        let version = self.catalog().map_or(0, |catalog| catalog.version.0);
        let machine = self.machine();
        let (jobs, waiting, targets) = (machine.jobs(), machine.waiting_orders(), machine.owned_targets());
        drop(machine);
        observing::set_levels(&self.metrics, jobs, waiting, targets, version);
        self.metrics.encode_text()
    }

    /// Takes what a target says of itself.
    pub fn report(self: &Arc<Self>, report: TargetReport) {
        self.handle(Input::Report(report));
    }

    /// Stops taking new callers, and gives targets back as they become idle. Jobs that are open after `time_left` are given
    /// up.
    pub(super) fn leave(self: &Arc<Self>, time_left: Duration) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.handle(Input::Leave { time_left });
    }

    /// Drops a caller of a job; the job of the last one is abandoned.
    pub(super) fn leave_job(self: &Arc<Self>, job: &JobKey, waiter: u64) {
        let mut waiters = lock(&self.waiters);
        let Some(callers) = waiters.get_mut(job) else {
            return;
        };
        callers.remove(&waiter);
        if callers.is_empty() {
            waiters.remove(job);
            drop(waiters);
            self.handle(Input::Abandon(job.clone()));
        }
    }

    /// Puts a catalog into force. An older one than the present one is ignored.
    pub(super) fn apply_catalog(&self, catalog: Catalog) {
        let is_newer = self.catalog().is_none_or(|held| held.version < catalog.version);
        if is_newer {
            let fields = [
                ("version", catalog.version.to_string()),
                ("queues", catalog.queues.len().to_string()),
            ];
            kqr_telemetry::log_decision("catalog-applied", &fields);
            self.catalog.store(Some(Arc::new(catalog)));
            self.catalog_known.notify_waiters();
        }
    }

    /// Takes one input and performs what follows.
    pub(super) fn handle(self: &Arc<Self>, input: Input) {
        let mut outputs = Vec::new();
        let mut machine = self.machine();
        machine.handle(self.clock.now(), input, &mut outputs);
        for output in outputs {
            self.perform(output);
        }
    }

    pub(super) fn machine(&self) -> MutexGuard<'_, Dispatcher> {
        lock(&self.machine)
    }

    /// Returns the time without a message after which a sibling counts as lost.
    pub(super) const fn sibling_silence(&self) -> Duration {
        self.sibling_silence
    }

    pub(super) const fn clock(&self) -> BootClock {
        self.clock
    }

    /// Opens links to new siblings and closes those of siblings that are gone.
    pub(super) fn link_siblings(self: &Arc<Self>) {
        let entries = self.machine().siblings();
        let mut mailboxes = lock(&self.mailboxes);
        mailboxes.retain(|id, mailbox| {
            let mut entries = entries.iter();
            entries.any(|entry| entry.id == *id && mailbox.is_for(entry))
        });
        for entry in &entries {
            if !mailboxes.contains_key(&entry.id) {
                mailboxes.insert(entry.id.clone(), Mailbox::open(self, entry));
            }
        }
    }

    fn perform(self: &Arc<Self>, output: Output) {
        match output {
            Output::Call { id, place, call } => {
                tokio::spawn(Arc::clone(self).call(id, place, call));
            }
            Output::Send { to, message } => {
                if let Some(mailbox) = lock(&self.mailboxes).get(&to) {
                    mailbox.send(message);
                }
            }
            Output::JobEnded { job, end } => {
                let waiters = lock(&self.waiters).remove(&job).unwrap_or_default();
                for waiter in waiters.into_values() {
                    // A caller that has just left does not take the answer.
                    drop(waiter.send(end.clone()));
                }
            }
            Output::Note(note) => {
                observing::observe(&self.metrics, &note);
                notes::log(&note);
            }
        }
    }

    async fn call(self: Arc<Self>, call: CallId, place: TargetPlace, target_call: TargetCall) {
        let input = match target_call {
            TargetCall::Start(start) => Input::Started {
                call,
                answer: self.port.start(place, start).await,
            },
            TargetCall::Stop(stop) => Input::Stopped {
                call,
                answer: self.port.stop(place, stop).await,
            },
            TargetCall::Poll(poll) => Input::Polled {
                call,
                answer: self.port.poll(place, poll).await,
            },
        };
        self.handle(input);
    }
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
