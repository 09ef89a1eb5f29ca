//! Replication between the members of a cell.

use kqr_types::{Incarnation, InstanceId, Instant, KeyDigest, MemberState};

use super::{Change, Machine};
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
        let sender = self.cell.view.member(from);
        let is_member = sender.is_some_and(|member| member.incarnation == incarnation);
        if !is_member || self.cell.own_state().is_none() {
            return;
        }
        let present = self.cell.view.epoch;
        let Some(link) = self.cell.links.get_mut(from) else {
            return;
        };
        match message {
            JobMessage::Updates {
                epoch,
                first,
                updates,
            } if epoch == present => {
                let updates = link.receive(first, updates);
                outputs.push(Output::Send {
                    to: from.clone(),
                    message: link.ack(epoch),
                });
                for update in updates {
                    self.apply(now, from, update, outputs);
                }
            }
            JobMessage::Ack { epoch, next } if epoch == present => {
                link.acknowledge(now, next);
                self.note_copies(outputs);
                self.release(now, outputs);
            }
            JobMessage::Updates { .. } | JobMessage::Ack { .. } => {}
        }
    }

    fn apply(&mut self, now: Instant, from: &InstanceId, update: Update, outputs: &mut Vec<Output>) {
        match update {
            Update::Record(record) => self.apply_record(now, from, *record),
            Update::Task { job, task, state } => {
                let Some(copy) = self.copy_of(from, job) else {
                    return;
                };
                if let Some(task) = copy.tasks.get_mut(usize::from(task.0)) {
                    task.merge(state, true);
                }
                self.note_end(now, job);
            }
            Update::Cancelled { job } => {
                if let Some(copy) = self.copy_of(from, job) {
                    copy.is_cancelled = true;
                }
            }
            Update::Settled { job } => {
                if let Some(copy) = self.copy_of(from, job) {
                    copy.is_settled = copy.ended.is_some();
                }
            }
            Update::Tombstone { job, kind, remaining } => {
                if self.is_acceptable(from, job) {
                    self.bury(now, job, kind, remaining);
                }
            }
            Update::Sealed(seal) => {
                self.cell.seals.insert(from.clone(), seal);
                self.try_activate(now, outputs);
            }
            Update::Complete => {
                self.cell.complete.insert(from.clone());
                self.note_complete(outputs);
            }
        }
    }

    /// Returns the copy of `job` if `from` is its home.
    fn copy_of(&mut self, from: &InstanceId, job: KeyDigest) -> Option<&mut Job> {
        if !self.cell.is_home(from, job) {
            return None;
        }
        self.jobs.get_mut(&job)
    }

    /// Returns whether a record of `job` may be taken over from `from`: from its home, and from each full member
    /// before this one is active.
    fn is_acceptable(&self, from: &InstanceId, job: KeyDigest) -> bool {
        let is_offer = !self.cell.is_active && self.cell.is_full();
        let is_sender = is_offer || self.cell.is_home(from, job);
        is_sender && self.cell.copies(job).contains(&self.cell.own.id)
    }

    fn apply_record(&mut self, now: Instant, from: &InstanceId, record: JobRecord) {
        let digest = KeyDigest::of(&record.submission.key);
        if !self.is_acceptable(from, digest) || self.tombstones.get(digest).is_some() {
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
        self.note_end(now, digest);
    }

    pub(super) fn flush(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.cell.is_active {
            for (digest, change) in std::mem::take(&mut self.changes) {
                self.push_change(now, digest, &change);
            }
            for (digest, update) in std::mem::take(&mut self.tombstone_updates) {
                let copies = self.cell.copies(digest);
                self.cell.push(&copies, &update);
            }
            self.stamp_gates();
            self.set_marks();
            self.note_copies(outputs);
        }
        let epoch = self.cell.view.epoch;
        for (id, link) in &mut self.cell.links {
            for message in link.unsent(now, epoch) {
                outputs.push(Output::Send {
                    to: id.clone(),
                    message,
                });
            }
        }
        self.release(now, outputs);
    }

    /// Sends what changed of a job to the members that hold copies.
    fn push_change(&mut self, now: Instant, digest: KeyDigest, change: &Change) {
        let copies = self.cell.copies(digest);
        let Some(job) = self.jobs.get_mut(&digest) else {
            return;
        };
        if job.role != Role::Home {
            job.role = Role::Home;
            let update = Update::Record(Box::new(job.record(now)));
            self.cell.push(&copies, &update);
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
            self.cell.push(&copies, update);
        }
    }

    /// Notes up to where the streams must be acknowledged until the copies of this member's records are complete.
    fn set_marks(&mut self) {
        if !std::mem::take(&mut self.is_mark_due) {
            return;
        }
        let links = self.cell.links.iter();
        self.cell.marks = Some(links.map(|(id, link)| (id.clone(), link.end())).collect());
    }

    /// Tells the other members when the copies of this member's records are complete.
    fn note_copies(&mut self, outputs: &mut Vec<Output>) {
        let Some(marks) = &self.cell.marks else { return };
        let is_acked = |(id, position): (_, &u64)| {
            let link = self.cell.links.get(id);
            link.is_some_and(|link| link.acked() >= *position)
        };
        if !marks.iter().all(is_acked) {
            return;
        }
        self.cell.marks = None;
        let own = self.cell.own.id.clone();
        let receivers: Vec<InstanceId> = self.cell.links.keys().cloned().collect();
        self.cell.push(&receivers, &Update::Complete);
        self.cell.complete.insert(own);
        self.note_complete(outputs);
    }

    /// Drops the records that this member need not hold once each member's copies are complete.
    fn note_complete(&mut self, outputs: &mut Vec<Output>) {
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
        let is_orphan = |digest: &&KeyDigest| !self.cell.copies(**digest).contains(&own);
        let orphans: Vec<KeyDigest> = self.jobs.keys().filter(is_orphan).copied().collect();
        for digest in orphans {
            self.remove(digest);
        }
        let cell = &self.cell;
        self.tombstones
            .retain(|digest| cell.copies(digest).contains(&own));
    }
}
