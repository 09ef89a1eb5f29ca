use std::{collections::BTreeMap, time::Duration};

use kqr_types::{InstanceId, Instant};

/// Selects a sibling to forward work to when this instance has no free slot.
///
/// The choice is based on the free slots that siblings reported.
#[derive(Clone, Debug, Default)]
pub struct SiblingSelector {
    siblings: BTreeMap<InstanceId, SiblingReport>,
}

#[derive(Clone, Copy, Debug)]
struct SiblingReport {
    free_slots: u32,
    received_at: Instant,
}

impl SiblingSelector {
    /// Age beyond which a report is ignored.
    const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

    /// Records the number of free slots that a sibling reported.
    pub fn record_report(&mut self, now: Instant, sibling: InstanceId, free: u32) {
        self.siblings.insert(
            sibling,
            SiblingReport {
                free_slots: free,
                received_at: now,
            },
        );
    }

    /// Removes a sibling.
    pub fn remove(&mut self, sibling: &InstanceId) {
        self.siblings.remove(sibling);
    }

    /// Returns the sibling with the most free slots and counts one of them as used. Free slots are those of
    /// its last report minus the tasks forwarded since. Returns `None` if no sibling has more than `reserve`
    /// free slots.
    pub fn choose(&mut self, now: Instant, reserve: u32) -> Option<InstanceId> {
        let mut best: Option<(&InstanceId, &mut SiblingReport)> = None;
        for (id, report) in &mut self.siblings {
            if report.free_slots <= reserve || now.since(report.received_at) > Self::MAX_REPORT_AGE {
                continue;
            }
            if best
                .as_ref()
                .is_none_or(|(_, other)| report.free_slots > other.free_slots)
            {
                best = Some((id, report));
            }
        }
        let (id, report) = best?;
        report.free_slots -= 1;
        Some(id.clone())
    }
}
