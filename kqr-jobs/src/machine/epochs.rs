//! Epoch changes: sealing of the old epoch, transfer of records, and takeover.

use std::collections::BTreeSet;

use kqr_types::{CellView, InstanceId, Instant, KeyDigest, MemberState};

use super::{JobChange, Machine, calls::reply};
use crate::{
    CallerId, Fault, Outcome, Output, Phase, Seal, TaskResult, Update,
    job::{Job, Role},
    pending_effects::Effect,
    refusal,
    tombstones::Tombstone,
};

impl Machine {
    /// Leaves the current epoch and enters that of `view`.
    pub(super) fn install_view(&mut self, now: Instant, view: CellView, outputs: &mut Vec<Output>) {
        if view.epoch <= self.cell.view.epoch {
            return;
        }
        self.suspend_activity(outputs);
        let current_epoch = self.cell.view.epoch;
        let has_gap = view.epoch > current_epoch.next() && current_epoch.0 > 0;
        if has_gap && !self.options.has(Fault::GapIgnored) {
            // This member may have been left out of the views in between while others acted without it.
            self.clear_records(outputs);
            self.cell.complete_members.clear();
        }
        let live = self.live.iter().copied();
        let owned: BTreeSet<KeyDigest> = live.filter(|digest| self.cell.is_own(*digest)).collect();
        self.cell.install(view);
        if !self.cell.is_full() {
            self.clear_records(outputs);
            self.skip_resync(outputs);
            return;
        }
        self.reassign_jobs(&owned, outputs);
        self.send_records(now);
        let seal = Seal {
            open: self.cell.open_views.clone(),
            history: self.cell.history.map(|since| now.since(since)),
        };
        let others = self.other_full_members();
        self.cell.push_update(&others, &Update::Sealed(seal));
        self.try_activate(now, outputs);
    }

    /// Revokes all effects that were not yet emitted, so that nothing more happens under the old epoch.
    fn suspend_activity(&mut self, outputs: &mut Vec<Output>) {
        let affected: BTreeSet<KeyDigest> = self.pending_effects.iter().map(|pending| pending.job).collect();
        for digest in affected {
            self.revoke_deferred_starts(digest, outputs);
        }
        for digest in self.live.iter().copied() {
            let Some(job) = self.jobs.get(&digest) else {
                continue;
            };
            let is_queued = job.tasks.iter().any(crate::task::Task::is_waiting);
            if self.cell.is_active && is_queued && self.cell.is_own(digest) {
                outputs.push(Output::Withdraw {
                    key: job.submission.key.clone(),
                });
            }
        }
        for pending in std::mem::take(&mut self.pending_effects) {
            for effect in pending.effects {
                match (effect, self.jobs.get_mut(&pending.job)) {
                    (Effect::Reply(caller), Some(job)) => job.callers.push(caller),
                    (Effect::Renounce(caller), _) => refuse_callers(&mut vec![caller], outputs),
                    _ => {}
                }
            }
        }
        self.pending_changes.clear();
        self.are_completion_positions_due = false;
    }

    /// Clears all records, because this member was left out of a view or must sync.
    fn clear_records(&mut self, outputs: &mut Vec<Output>) {
        for job in self.jobs.values_mut() {
            refuse_callers(&mut job.callers, outputs);
        }
        self.jobs.clear();
        self.live.clear();
        self.retained.clear();
        self.retained_bytes = 0;
        self.tombstones = crate::tombstones::Tombstones::default();
        self.pending_tombstones.clear();
        self.cell.history = None;
        self.cell.open_views = vec![self.cell.view.clone()];
    }

    /// Injects [`Fault::ResyncSkipped`]: reports this member as synced without copying any record.
    fn skip_resync(&mut self, outputs: &mut Vec<Output>) {
        if self.options.has(Fault::ResyncSkipped) && self.cell.own_state() == Some(MemberState::Syncing) {
            self.cell.history = Some(Instant(0));
            self.cell.open_views.clear();
            outputs.push(Output::Synced {
                epoch: self.cell.view.epoch,
            });
        }
    }

    /// Sets the roles of all jobs for the new view, and refuses the callers of jobs with another home.
    ///
    /// `owned` are the live jobs whose home was this member before.
    fn reassign_jobs(&mut self, owned: &BTreeSet<KeyDigest>, outputs: &mut Vec<Output>) {
        for (digest, job) in &mut self.jobs {
            let is_own = self.cell.is_own(*digest);
            job.role = if is_own { Role::NewHome } else { Role::Follower };
            if !is_own {
                refuse_callers(&mut job.callers, outputs);
            }
            if is_own && owned.contains(digest) {
                continue;
            }
            for task in &mut job.tasks {
                task.is_tracked = false;
            }
        }
    }

    /// Sends records to the full members that hold them in the new epoch and may lack them.
    fn send_records(&mut self, now: Instant) {
        let others = self.other_full_members();
        let is_receiver = |id: &InstanceId| others.contains(id);
        for (digest, job) in &self.jobs {
            let mut receivers = self.cell.replicas(*digest);
            receivers.retain(is_receiver);
            if job.is_settled {
                receivers.retain(|id| self.cell.must_send_settled_record(id, *digest));
            }
            if !receivers.is_empty() {
                let update = Update::Record(Box::new(job.record(now)));
                self.cell.push_update(&receivers, &update);
            }
        }
        let unsent = std::mem::take(&mut self.pending_tombstones);
        for tombstone in self.tombstones.iter() {
            let mut receivers = self.cell.replicas(tombstone.job);
            receivers.retain(is_receiver);
            if !unsent.contains_key(&tombstone.job) {
                receivers.retain(|id| self.cell.must_send_settled_record(id, tombstone.job));
            }
            self.cell
                .push_update(&receivers, &tombstone_update(now, tombstone));
        }
    }

    fn other_full_members(&self) -> BTreeSet<InstanceId> {
        let others = self.cell.full_members();
        others
            .filter(|member| member.id != self.cell.own.id)
            .map(|member| member.id.clone())
            .collect()
    }

    /// Activates this member as a home once all full members have sealed the old epoch.
    pub(super) fn try_activate(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let is_sealed = self.cell.is_sealed() || self.options.has(Fault::HomeBeforeSeal);
        if self.cell.is_active || !self.cell.is_full() || !is_sealed {
            return;
        }
        let is_lost = self.cell.activate(now);
        if is_lost && !self.options.has(Fault::ColdStartIgnored) {
            self.end_unsettled_tasks_as_unknown();
        }
        if self.options.has(Fault::ColdStartIgnored) || self.options.has(Fault::HomeBeforeSeal) {
            self.cell.history = Some(Instant(0));
        }
        self.send_settled_to_syncing(now);
        let owned = self.jobs.keys().copied();
        let owned: Vec<KeyDigest> = owned.filter(|digest| self.cell.is_own(*digest)).collect();
        for digest in owned {
            self.resume_job(now, digest, outputs);
        }
        self.are_completion_positions_due = true;
    }

    /// Ends each task of an unsettled job with an unknown result, unless it is known to have run: the
    /// replicas may be outdated, so later attempts may have been started.
    fn end_unsettled_tasks_as_unknown(&mut self) {
        for job in self.jobs.values_mut() {
            if job.is_settled {
                continue;
            }
            for task in &mut job.tasks {
                if task.outcome() != Outcome::Ran {
                    let reason = "the records of the data centre were lost".to_owned();
                    task.record.phase = Phase::Ended(TaskResult::Unknown(reason));
                }
            }
        }
    }

    /// Sends the settled records of this home to syncing members; unsettled ones are sent as their jobs
    /// resume.
    fn send_settled_to_syncing(&mut self, now: Instant) {
        let others = self.other_full_members();
        let receivers = |cell: &crate::cell::Cell, digest| {
            let replicas = cell.replicas(digest).into_iter();
            replicas.filter(|id| !others.contains(id)).collect::<Vec<_>>()
        };
        for (digest, job) in &self.jobs {
            if job.is_settled && self.cell.is_own(*digest) {
                let update = Update::Record(Box::new(job.record(now)));
                let receivers = receivers(&self.cell, *digest);
                self.cell.push_update(&receivers, &update);
            }
        }
        for tombstone in self.tombstones.iter() {
            if self.cell.is_own(tombstone.job) {
                let receivers = receivers(&self.cell, tombstone.job);
                self.cell
                    .push_update(&receivers, &tombstone_update(now, tombstone));
            }
        }
    }

    /// Resumes a job of this home at the start of an epoch.
    fn resume_job(&mut self, now: Instant, digest: KeyDigest, outputs: &mut Vec<Output>) {
        let is_unfenced = self.options.has(Fault::FenceSkipped);
        let Some(job) = self.jobs.get_mut(&digest) else {
            return;
        };
        if job.is_settled {
            return;
        }
        self.pending_changes.insert(digest, JobChange::default());
        if job.tasks.iter().all(crate::task::Task::is_ended) {
            self.finish_if_ended(now, digest);
            return;
        }
        let cannot_complete = job.cannot_complete();
        let is_cancelled = job.is_cancelled;
        query_targets(job, is_unfenced, outputs);
        if is_cancelled {
            self.stop_running_tasks(digest, outputs);
        }
        if cannot_complete {
            self.end_unstarted_tasks(digest, "another task of the job was not completed", outputs);
            self.finish_if_ended(now, digest);
            return;
        }
        self.enqueue_waiting_tasks(digest, outputs);
    }
}

/// Queries the targets of attempts that an earlier home may have started.
fn query_targets(job: &mut Job, is_unfenced: bool, outputs: &mut Vec<Output>) {
    for index in 0..job.tasks.len() {
        let attempt = job.attempt_id(kqr_types::TaskIndex(index as u16));
        let task = &mut job.tasks[index];
        let Phase::Intended { target, incarnation } = &task.record.phase else {
            continue;
        };
        if task.is_tracked {
            continue;
        }
        if is_unfenced {
            task.record.phase = Phase::Waiting;
            continue;
        }
        outputs.push(Output::Query {
            key: job.submission.key.clone(),
            attempt,
            target: target.clone(),
            incarnation: *incarnation,
        });
        task.is_tracked = true;
    }
}

fn refuse_callers(callers: &mut Vec<CallerId>, outputs: &mut Vec<Output>) {
    for caller in callers.drain(..) {
        let refused = refusal::not_ready("the home of the key has changed");
        reply(Some(caller), Err(refused), outputs);
    }
}

fn tombstone_update(now: Instant, tombstone: Tombstone) -> Update {
    Update::Tombstone {
        job: tombstone.job,
        kind: tombstone.kind,
        remaining: tombstone.until.since(now),
    }
}
