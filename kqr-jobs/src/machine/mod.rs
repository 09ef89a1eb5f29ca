use std::collections::{BTreeMap, BTreeSet};

use kqr_types::{AttemptId, ByteSize, CellView, Instant, JobKey, KeyDigest, TaskIndex};

use crate::{
    Fault, Input, Member, Options, Output, Phase, StateSize, TimeBounds, Update, cell::Cell, job::Job,
    pending_effects::PendingEffects, state_size, tombstones::Tombstones,
};

mod calls;
mod effects;
mod epochs;
mod peers;
mod retention;
mod tasks;

/// The job machine of one shard of an instance. It holds the jobs whose home the instance is, and replicas of
/// the jobs of other members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Machine {
    options: Options,
    cell: Cell,
    jobs: BTreeMap<KeyDigest, Job>,
    live: BTreeSet<KeyDigest>,
    retained: BTreeSet<RetainedJob>,
    retained_bytes: u64,
    tombstones: Tombstones,
    pending_changes: BTreeMap<KeyDigest, JobChange>,
    pending_tombstones: BTreeMap<KeyDigest, Update>,
    pending_effects: Vec<PendingEffects>,
    /// Whether the next flush records the completion positions of the cell.
    are_completion_positions_due: bool,
}

/// An ended job whose answer is retained. Ordered by the end, the oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct RetainedJob {
    ended_at: Instant,
    job: KeyDigest,
    bytes: u64,
}

/// Changes of one job that are not yet queued for its followers.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct JobChange {
    tasks: BTreeSet<TaskIndex>,
    is_cancelled: bool,
    is_settled: bool,
}

impl Machine {
    /// Creates a machine without jobs. It starts no task before it has installed a view and has a lease.
    pub fn new(member: Member, options: Options) -> Self {
        Self {
            options,
            cell: Cell::new(member),
            jobs: BTreeMap::new(),
            live: BTreeSet::new(),
            retained: BTreeSet::new(),
            retained_bytes: 0,
            tombstones: Tombstones::default(),
            pending_changes: BTreeMap::new(),
            pending_tombstones: BTreeMap::new(),
            pending_effects: Vec::new(),
            are_completion_positions_due: false,
        }
    }

    /// Returns the number of jobs that have not ended, including replicas.
    pub fn live_jobs(&self) -> usize {
        self.live.len()
    }

    /// Returns the number of jobs that have not ended and whose home is this member.
    pub fn homed_jobs(&self) -> usize {
        self.live.iter().filter(|job| self.cell.is_own(**job)).count()
    }

    /// Returns the current attempt of a task if its intent is recorded and its end is not.
    pub fn running_attempt(&self, key: &JobKey, task: TaskIndex) -> Option<AttemptId> {
        let job = self.jobs.get(&KeyDigest::of(key))?;
        let state = job.tasks.get(usize::from(task.0))?;
        matches!(state.record.phase, Phase::Intended { .. }).then(|| job.attempt_id(task))
    }

    /// Returns the time limits that the caller declared for a task of a live job.
    pub fn time_bounds(&self, key: &JobKey, task: TaskIndex) -> Option<TimeBounds> {
        let job = self.jobs.get(&KeyDigest::of(key))?;
        let spec = job.submission.tasks.get(usize::from(task.0))?;
        Some(TimeBounds {
            service: job.submission.service.clone(),
            deadline: job.deadline,
            run_time: spec.run_time,
        })
    }

    /// Returns the number of ended jobs that are retained, including replicas.
    pub fn retained_jobs(&self) -> usize {
        self.retained.len()
    }

    /// Returns the installed view of the cell.
    pub fn view(&self) -> &CellView {
        &self.cell.view
    }

    /// Returns whether this member may act as a home in its epoch, regardless of its lease.
    pub fn is_active(&self) -> bool {
        self.cell.is_active
    }

    /// Returns whether this machine waits neither for time to pass nor for other members.
    pub fn is_idle(&self) -> bool {
        self.live.is_empty() && self.cell.is_active && self.cell.is_complete()
    }

    /// Returns whether the records of all members are replicated in this epoch.
    pub fn is_complete(&self) -> bool {
        self.cell.is_complete()
    }

    /// Estimates the memory of the records.
    pub fn state_size(&self) -> StateSize {
        let live = self.live.iter().filter_map(|job| self.jobs.get(job));
        StateSize {
            live_jobs: self.live.len(),
            live_bytes: ByteSize(live.map(state_size::job_bytes).sum()),
            retained_jobs: self.retained.len(),
            retained_bytes: ByteSize(self.retained_bytes),
            tombstones: self.tombstones.len(),
            tombstone_bytes: StateSize::of_tombstones(self.tombstones.len()),
        }
    }

    /// Handles `input` at `now` and appends the effects to `outputs`.
    ///
    /// Effects that depend on acknowledgements, and updates to other members, are not emitted before the next
    /// [`Input::Flush`].
    pub fn handle(&mut self, now: Instant, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Submit(submit) => self.submit(now, submit, outputs),
            Input::Placed {
                key,
                task,
                target,
                incarnation,
            } => self.handle_placed(now, &key, task, target, incarnation, outputs),
            Input::Refused { key, task, refusal } => {
                self.handle_refused(now, KeyDigest::of(&key), task, refusal.detail, outputs);
            }
            Input::Ended(end) => self.handle_ended(now, end, outputs),
            Input::Cancel { key, caller } => self.cancel(now, &key, caller, outputs),
            Input::Lookup { key, caller } => self.lookup(now, &key, caller, outputs),
            Input::Renounce { key, caller } => self.renounce(now, &key, caller, outputs),
            Input::Detach { key, caller } => self.detach(&key, caller),
            Input::Epoch(view) => self.install_view(now, view, outputs),
            Input::Lease { until } => {
                self.cell.lease_until = self.cell.lease_until.max(until);
                self.release_effects(now, outputs);
            }
            Input::Peer {
                from,
                incarnation,
                message,
            } => self.receive(now, &from, incarnation, message, outputs),
            Input::Flush => self.flush(now, outputs),
            Input::Tick => self.tick(now, outputs),
        }
    }

    /// Returns the change of `job` that the next flush sends.
    fn pending_change(&mut self, job: KeyDigest) -> &mut JobChange {
        self.pending_changes.entry(job).or_default()
    }

    /// Returns whether the machine may accept jobs now.
    fn can_act(&self, now: Instant) -> bool {
        let is_unleased = self.options.has(Fault::NoLeaseCheck) && self.cell.is_active;
        self.cell.can_act(now) || is_unleased
    }

    /// Returns the job with `key` if this member is its home.
    fn own_job(&mut self, key: &JobKey) -> Option<&mut Job> {
        let job = self.jobs.get_mut(&KeyDigest::of(key));
        job.filter(|job| job.is_own())
    }
}
