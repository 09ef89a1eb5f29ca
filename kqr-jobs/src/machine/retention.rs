//! Retention of ended jobs and their tombstones.

use std::time::Duration;

use kqr_types::{Instant, KeyDigest};

use super::{Machine, RetainedJob};
use crate::{Output, TombstoneKind, Update};

impl Machine {
    pub(super) fn tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        for link in self.cell.links.values_mut() {
            link.rewind(now, self.options.resend_timeout);
        }
        self.refuse_callers_without_lease(now, outputs);
        self.expire_waiting_tasks(now, outputs);
        self.tombstones.expire(now);
        if self.cell.is_active {
            self.expire_retained_jobs(now);
        }
        self.release_effects(now, outputs);
    }

    /// Replaces ended jobs beyond the retention limits by tombstones. The home of a job decides and updates
    /// its followers.
    fn expire_retained_jobs(&mut self, now: Instant) {
        let mut excess_jobs = self.retained.len().saturating_sub(self.options.max_retained_jobs);
        let mut excess_bytes = self
            .retained_bytes
            .saturating_sub(self.options.max_retained_bytes.0);
        let mut due = Vec::new();
        for retained in &self.retained {
            let is_old = now.since(retained.ended_at) >= self.options.retention;
            if !is_old && excess_jobs == 0 && excess_bytes == 0 {
                break;
            }
            let job = self.jobs.get(&retained.job);
            // A replica expires by itself if an epoch change has lost the update of the home.
            let is_overdue = now.since(retained.ended_at) >= self.options.retention * 2;
            if !job.is_some_and(|job| job.is_settled && (job.is_own() || is_overdue)) {
                continue;
            }
            due.push(retained.job);
            excess_jobs = excess_jobs.saturating_sub(1);
            excess_bytes = excess_bytes.saturating_sub(retained.bytes);
        }
        for digest in due {
            let Some(job) = self.jobs.get(&digest) else {
                continue;
            };
            let is_own = job.is_own();
            let update = Update::Tombstone {
                job: digest,
                kind: TombstoneKind::Ended(job.outcome()),
                remaining: self.options.tombstone_retention,
            };
            let kind = TombstoneKind::Ended(job.outcome());
            self.replace_with_tombstone(now, digest, kind, self.options.tombstone_retention);
            if is_own {
                self.pending_tombstones.insert(digest, update);
            }
        }
    }

    /// Replaces a job, if there is one, by a tombstone that expires after `remaining`.
    pub(super) fn replace_with_tombstone(
        &mut self,
        now: Instant,
        digest: KeyDigest,
        kind: TombstoneKind,
        remaining: Duration,
    ) {
        self.remove_job(digest);
        self.tombstones.insert(digest, kind, now + remaining);
    }

    /// Removes a job and its entry among the retained jobs.
    pub(super) fn remove_job(&mut self, digest: KeyDigest) {
        self.live.remove(&digest);
        let Some(job) = self.jobs.remove(&digest) else {
            return;
        };
        let Some(ended_at) = job.ended_at else { return };
        let from = RetainedJob {
            ended_at,
            job: digest,
            bytes: 0,
        };
        let found = self.retained.range(from..).next().copied();
        let Some(found) = found.filter(|found| found.job == digest) else {
            return;
        };
        self.retained.remove(&found);
        self.retained_bytes -= found.bytes;
    }
}
