//! Replication of records between the members of a cell.

use kqr_types::{Incarnation, InstanceId, Instant, KeyDigest, MemberState};

use super::{JobChange, Machine};
use crate::{
    JobMessage, JobRecord, Output, Update,
    job::{Job, Role},
};

impl Machine {
    pub(super) fn receive(
        &mut self,
        now: Instant,
        from: &InstanceId,
        incarnation: Incarnation,
        message: JobMessage,
        outputs: &mut Vec<Output>,
    ) {
        let sending_member = self.cell.view.member(from);
        let is_member = sending_member.is_some_and(|member| member.incarnation == incarnation);
        if !is_member || self.cell.own_state().is_none() {
            return;
        }
        let current_epoch = self.cell.view.epoch;
        let Some(link) = self.cell.links.get_mut(from) else {
            return;
        };
        match message {
            JobMessage::Updates {
                epoch,
                first,
                updates,
            } if epoch == current_epoch => {
                let updates = link.receive(first, updates);
                outputs.push(Output::Send {
                    to: from.clone(),
                    message: link.acknowledgement(epoch),
                });
                for update in updates {
                    self.apply_update(now, from, update, outputs);
                }
            }
            JobMessage::Ack { epoch, next } if epoch == current_epoch => {
                link.acknowledge(now, next);
                self.check_own_completion(outputs);
                self.release_effects(now, outputs);
            }
            JobMessage::Updates { .. } | JobMessage::Ack { .. } => {}
        }
    }

    fn apply_update(&mut self, now: Instant, from: &InstanceId, update: Update, outputs: &mut Vec<Output>) {
        match update {
            Update::Record(record) => self.apply_record(now, from, *record),
            Update::Task { job, task, state } => {
                let Some(replica) = self.replica_from(from, job) else {
                    return;
                };
                if let Some(task) = replica.tasks.get_mut(usize::from(task.0)) {
                    task.merge(state, true);
                }
                self.record_job_end(now, job);
            }
            Update::Cancelled { job } => {
                if let Some(replica) = self.replica_from(from, job) {
                    replica.is_cancelled = true;
                }
            }
            Update::Settled { job } => {
                if let Some(replica) = self.replica_from(from, job) {
                    replica.is_settled = replica.ended_at.is_some();
                }
            }
            Update::Tombstone { job, kind, remaining } => {
                if self.accepts_record_from(from, job) {
                    self.replace_with_tombstone(now, job, kind, remaining);
                }
            }
            Update::Sealed(seal) => {
                self.cell.seals.insert(from.clone(), seal);
                self.try_activate(now, outputs);
            }
            Update::Complete => {
                self.cell.complete_members.insert(from.clone());
                self.finish_sync_if_complete(outputs);
            }
        }
    }

    /// Returns the replica of `job` if `from` is its home.
    fn replica_from(&mut self, from: &InstanceId, job: KeyDigest) -> Option<&mut Job> {
        if !self.cell.is_home(from, job) {
            return None;
        }
        self.jobs.get_mut(&job)
    }

    /// Returns whether a record of `job` may be accepted from `from`: always from its home, and from any full
    /// member until this one is active.
    fn accepts_record_from(&self, from: &InstanceId, job: KeyDigest) -> bool {
        let accepts_any_member = !self.cell.is_active && self.cell.is_full();
        let is_accepted_sender = accepts_any_member || self.cell.is_home(from, job);
        is_accepted_sender && self.cell.replicas(job).contains(&self.cell.own.id)
    }

    fn apply_record(&mut self, now: Instant, from: &InstanceId, record: JobRecord) {
        let digest = KeyDigest::of(&record.submission.key);
        if !self.accepts_record_from(from, digest) || self.tombstones.get(digest).is_some() {
            return;
        }
        let is_preferred = self.cell.is_home(from, digest);
        if let Some(job) = self.jobs.get_mut(&digest) {
            job.merge(now, record, is_preferred);
        } else {
            let mut job = Job::from_record(now, record);
            if self.cell.is_own(digest) {
                job.role = Role::NewHome;
            }
            self.jobs.insert(digest, job);
            self.live.insert(digest);
        }
        self.record_job_end(now, digest);
    }

    pub(super) fn flush(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.cell.is_active {
            for (digest, change) in std::mem::take(&mut self.pending_changes) {
                self.push_job_change(now, digest, &change);
            }
            for (digest, update) in std::mem::take(&mut self.pending_tombstones) {
                let replicas = self.cell.replicas(digest);
                self.cell.push_update(&replicas, &update);
            }
            self.set_required_acks();
            self.record_completion_positions();
            self.check_own_completion(outputs);
        }
        let epoch = self.cell.view.epoch;
        for (id, link) in &mut self.cell.links {
            for message in link.take_unsent(now, epoch) {
                outputs.push(Output::Send {
                    to: id.clone(),
                    message,
                });
            }
        }
        self.release_effects(now, outputs);
    }

    /// Queues the change of a job for the members that hold replicas.
    fn push_job_change(&mut self, now: Instant, digest: KeyDigest, change: &JobChange) {
        let replicas = self.cell.replicas(digest);
        let Some(job) = self.jobs.get_mut(&digest) else {
            return;
        };
        if job.role != Role::Home {
            job.role = Role::Home;
            let update = Update::Record(Box::new(job.record(now)));
            self.cell.push_update(&replicas, &update);
            return;
        }
        let mut updates = Vec::with_capacity(change.tasks.len());
        if change.is_cancelled {
            updates.push(Update::Cancelled { job: digest });
        }
        for task in &change.tasks {
            updates.push(Update::Task {
                job: digest,
                task: *task,
                state: job.tasks[usize::from(task.0)].record.clone(),
            });
        }
        if change.is_settled {
            updates.push(Update::Settled { job: digest });
        }
        for update in &updates {
            self.cell.push_update(&replicas, update);
        }
    }

    /// Records the stream positions that must be acknowledged before this member's records are replicated.
    fn record_completion_positions(&mut self) {
        if !std::mem::take(&mut self.are_completion_positions_due) {
            return;
        }
        let links = self.cell.links.iter();
        self.cell.completion_positions = Some(
            links
                .map(|(id, link)| (id.clone(), link.end_position()))
                .collect(),
        );
    }

    /// Notifies the other members once this member's records are replicated.
    fn check_own_completion(&mut self, outputs: &mut Vec<Output>) {
        let Some(positions) = &self.cell.completion_positions else {
            return;
        };
        let is_acked = |(id, position): (_, &u64)| {
            let link = self.cell.links.get(id);
            link.is_some_and(|link| link.acked_position() >= *position)
        };
        if !positions.iter().all(is_acked) {
            return;
        }
        self.cell.completion_positions = None;
        let own = self.cell.own.id.clone();
        let receivers: Vec<InstanceId> = self.cell.links.keys().cloned().collect();
        self.cell.push_update(&receivers, &Update::Complete);
        self.cell.complete_members.insert(own);
        self.finish_sync_if_complete(outputs);
    }

    /// Once the records of all members are replicated, reports a syncing member as synced, or drops the
    /// records that a full member need not hold.
    fn finish_sync_if_complete(&mut self, outputs: &mut Vec<Output>) {
        if !self.cell.is_complete() {
            return;
        }
        if self.cell.own_state() == Some(MemberState::Syncing) {
            outputs.push(Output::Synced {
                epoch: self.cell.view.epoch,
            });
            return;
        }
        let own = self.cell.own.id.clone();
        let is_orphan = |digest: &&KeyDigest| !self.cell.replicas(**digest).contains(&own);
        let orphans: Vec<KeyDigest> = self.jobs.keys().filter(is_orphan).copied().collect();
        for digest in orphans {
            self.remove_job(digest);
        }
        let cell = &self.cell;
        self.tombstones
            .retain(|digest| cell.replicas(digest).contains(&own));
    }
}
