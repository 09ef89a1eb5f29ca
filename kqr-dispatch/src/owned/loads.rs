//! The load of the owned targets, as siblings and the coordinator role see it.

use std::time::Duration;

use kqr_types::Instant;

use super::OwnedTargets;
use crate::{LoadChange, QueuedWork, TargetLoad, load_report::LoadReport, message_size::START_BYTES};

/// Time for which the budget must keep orders from being started before the link counts as their limit. A burst on a link
/// that is fast enough passes sooner, and the orders behind it may wait for capacity only.
const MIN_HOLD: Duration = Duration::from_millis(20);

impl OwnedTargets {
    /// Returns the load report for siblings.
    pub(crate) fn load_report(&self, now: Instant) -> LoadReport {
        let mut report = LoadReport {
            targets: Vec::with_capacity(self.targets.len()),
            queued: self.waiting.work(),
            is_leaving: self.is_leaving,
        };
        for target in self.targets.values() {
            let (capacity, free) = target.offer();
            report.targets.push(TargetLoad {
                id: target.record.id.clone(),
                service: target.record.service.clone(),
                labels: target.record.labels.clone(),
                capacity,
                free,
                slowness: target.health.slowness(),
                is_open: !self.is_link_full && self.is_open(now, target),
            });
        }
        report
    }

    /// Returns the current loads of the targets, in the order of the load report.
    pub(crate) fn loads(&self, now: Instant) -> impl Iterator<Item = LoadChange> {
        let targets = self.targets.values().enumerate();
        targets.map(move |(position, target)| LoadChange {
            position: position as u32,
            free: target.offer().1,
            slowness: target.health.slowness(),
            is_open: !self.is_link_full && self.is_open(now, target),
        })
    }

    /// Returns the work of the waiting orders.
    pub(crate) const fn queued_work(&self) -> QueuedWork {
        self.waiting.work()
    }

    /// Returns whether starts wait for the link, and not only for capacity.
    pub(super) fn are_starts_held(&self, now: Instant) -> bool {
        let since = self.starts_held_since;
        since.is_some_and(|since| now.since(since) >= MIN_HOLD)
    }

    /// Returns the estimated size of the starts that wait for the link.
    pub(crate) fn held_bytes(&self, now: Instant) -> u64 {
        if !self.are_starts_held(now) {
            return 0;
        }
        let waiting = self.waiting.iter();
        waiting
            .map(|(_, order)| START_BYTES + order.spec.len() as u64)
            .sum()
    }
}
