//! How long ended jobs are remembered.

use std::time::Duration;

use kqr_types::{Instant, KeyDigest};

use super::{Machine, Remembered};
use crate::{Output, TombstoneKind, Update};

impl Machine {
    pub(super) fn tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        for link in self.cell.links.values_mut() {
            link.rewind(now, self.options.resend_timeout);
        }
        self.refuse_unleased(now, outputs);
        self.expire_waiting(now, outputs);
        self.tombstones.expire(now);
        if self.cell.is_active {
            self.forget(now);
        }
        self.release(now, outputs);
    }

    /// Replaces answers that are too old or too many by tombstones. The home decides, its followers are told.
    fn forget(&mut self, now: Instant) {
        let mut excess_jobs = self
            .remembered
            .len()
            .saturating_sub(self.options.max_retained_jobs);
        let mut excess_bytes = self
            .retained_bytes
            .saturating_sub(self.options.max_retained_bytes.0);
        let mut due = Vec::new();
        for remembered in &self.remembered {
            let is_old = now.since(remembered.ended) >= self.options.retention;
            if !is_old && excess_jobs == 0 && excess_bytes == 0 {
                break;
            }
            let job = self.jobs.get(&remembered.job);
            // A copy whose home did not tell in time, because the message was lost with an epoch, goes by itself.
            let is_overdue = now.since(remembered.ended) >= self.options.retention * 2;
            if !job.is_some_and(|job| job.is_settled && (job.is_own() || is_overdue)) {
                continue;
            }
            due.push(remembered.job);
            excess_jobs = excess_jobs.saturating_sub(1);
            excess_bytes = excess_bytes.saturating_sub(remembered.bytes);
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
            self.bury(now, digest, kind, self.options.tombstone_retention);
            if is_own {
                self.tombstone_updates.insert(digest, update);
            }
        }
    }

    /// Forgets a job but for its remains.
    pub(super) fn bury(&mut self, now: Instant, digest: KeyDigest, kind: TombstoneKind, remaining: Duration) {
        self.remove(digest);
        self.tombstones.insert(digest, kind, now + remaining);
    }

    /// Forgets a job.
    pub(super) fn remove(&mut self, digest: KeyDigest) {
        self.live.remove(&digest);
        let Some(job) = self.jobs.remove(&digest) else {
            return;
        };
        let Some(ended) = job.ended else { return };
        let from = Remembered {
            ended,
            job: digest,
            bytes: 0,
        };
        let found = self.remembered.range(from..).next().copied();
        let Some(found) = found.filter(|found| found.job == digest) else {
            return;
        };
        self.remembered.remove(&found);
        self.retained_bytes -= found.bytes;
    }
}
