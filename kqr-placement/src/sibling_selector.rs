use std::{collections::BTreeMap, time::Duration};

use kqr_types::{InstanceId, Instant};

/// What siblings last reported of their free slots, for work that finds none here.
#[derive(Clone, Debug, Default)]
pub struct SiblingSelector {
    siblings: BTreeMap<InstanceId, Reported>,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    free: u32,
    at: Instant,
}

impl SiblingSelector {
    /// Age from which a report is not believed.
    const BELIEVED: Duration = Duration::from_secs(1);

    /// Takes in the number of free slots that a sibling reported.
    pub fn record_report(&mut self, now: Instant, sibling: InstanceId, free: u32) {
        self.siblings.insert(sibling, Reported { free, at: now });
    }

    /// Forgets a sibling.
    pub fn remove(&mut self, sibling: &InstanceId) {
        self.siblings.remove(sibling);
    }

    /// Returns the sibling with the most free slots by its last report, less what was forwarded since, and counts one
    /// forward. Returns `None` if none has more than `reserve`.
    pub fn choose(&mut self, now: Instant, reserve: u32) -> Option<InstanceId> {
        let mut best: Option<(&InstanceId, &mut Reported)> = None;
        for (id, reported) in &mut self.siblings {
            if reported.free <= reserve || now.since(reported.at) > Self::BELIEVED {
                continue;
            }
            if best.as_ref().is_none_or(|(_, other)| reported.free > other.free) {
                best = Some((id, reported));
            }
        }
        let (id, reported) = best?;
        reported.free -= 1;
        Some(id.clone())
    }
}
