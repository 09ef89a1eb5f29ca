//! Liveness of the siblings of an entry, and what was reported to them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_fleet::EntryInfo;
use kqr_types::{DataCentre, Incarnation, InstanceId, Instant};

use crate::Options;

/// Fraction of the interval of heartbeats from which on one may be sent early, so that they are spread over time.
const EARLY_HEARTBEAT_FRACTION: f64 = 0.85;

/// A sibling entry.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Sibling {
    pub(crate) info: EntryInfo,
    /// When the last received message was sent at the earliest; `None` before the first one and while the sibling counts as
    /// lost.
    pub(crate) last_sent_at: Option<Instant>,
    /// When the load of this entry was last sent to the sibling.
    pub(crate) last_report_at: Instant,
    /// When any message was last sent to the sibling.
    pub(crate) last_message_at: Instant,
    /// Whether the load of this entry has changed since.
    pub(crate) is_outdated: bool,
    /// Whether this entry as an owner reports to the sibling, which is in another data centre.
    pub(crate) is_assigned: bool,
    /// Until when this entry as an owner reports to the sibling because it asked.
    pub(crate) requested_until: Instant,
    /// Number of the load that was last sent to the sibling, if it is known to have it once it has handled all messages.
    pub(crate) sent_load: Option<u64>,
}

impl Sibling {
    fn new(info: EntryInfo) -> Self {
        Self {
            info,
            last_sent_at: None,
            last_report_at: Instant(0),
            last_message_at: Instant(0),
            is_outdated: true,
            is_assigned: false,
            requested_until: Instant(0),
            sent_load: None,
        }
    }

    /// Returns whether a load report may be sent: soon after a change within the data centre, and otherwise some time
    /// before it is due as a heartbeat.
    pub(crate) fn may_report(&self, now: Instant, is_near: bool, options: &Options) -> bool {
        let passed = now.since(self.last_report_at);
        if is_near && self.is_outdated {
            return passed >= options.min_report_interval;
        }
        passed >= options.max_report_interval.mul_f64(EARLY_HEARTBEAT_FRACTION)
    }

    /// Returns whether a load report is due as a heartbeat.
    pub(crate) fn must_report(&self, now: Instant, options: &Options) -> bool {
        now.since(self.last_report_at) >= options.max_report_interval
    }

    pub(crate) fn is_alive(&self, now: Instant, timeout: Duration) -> bool {
        self.last_sent_at.is_some_and(|at| now.since(at) < timeout)
    }
}

/// The siblings of an entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Siblings {
    siblings: BTreeMap<InstanceId, Sibling>,
}

impl Siblings {
    /// Replaces the list of live entries. Returns the siblings that are gone or have restarted. A sibling
    /// that still sends messages is kept, because control may have lost contact with it.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        own: &InstanceId,
        entries: Vec<EntryInfo>,
        timeout: Duration,
    ) -> Vec<InstanceId> {
        let mut before = std::mem::take(&mut self.siblings);
        let mut gone = Vec::new();
        for info in entries {
            if info.id == *own {
                continue;
            }
            let known = before.remove(&info.id);
            let sibling = match known {
                Some(mut known) if known.info.incarnation == info.incarnation => {
                    known.info = info;
                    known
                }
                Some(known) => {
                    gone.push(known.info.id);
                    Sibling::new(info)
                }
                None => Sibling::new(info),
            };
            self.siblings.insert(sibling.info.id.clone(), sibling);
        }
        for (id, sibling) in before {
            if sibling.is_alive(now, timeout) {
                self.siblings.insert(id, sibling);
            } else {
                gone.push(id);
            }
        }
        gone
    }

    pub(crate) fn get_mut(&mut self, id: &InstanceId) -> Option<&mut Sibling> {
        self.siblings.get_mut(id)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Sibling> {
        self.siblings.values_mut()
    }

    /// Returns the number of data centres with entries, including `own`.
    pub(crate) fn data_centre_count(&self, own: &DataCentre) -> usize {
        let others = self.siblings.values().map(|sibling| &sibling.info.data_centre);
        others.chain([own]).collect::<BTreeSet<_>>().len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Sibling> {
        self.siblings.values()
    }

    /// Returns the siblings of which a message was received that they sent within the timeout.
    pub(crate) fn live(&self, now: Instant, options: &Options) -> impl Iterator<Item = &Sibling> {
        let timeout = options.sibling_timeout;
        self.siblings
            .values()
            .filter(move |sibling| sibling.is_alive(now, timeout))
    }

    /// Returns the identities and incarnations of the live siblings.
    pub(crate) fn live_ids(&self, now: Instant, options: &Options) -> Vec<(InstanceId, Incarnation)> {
        let live = self.live(now, options);
        live.map(|sibling| (sibling.info.id.clone(), sibling.info.incarnation))
            .collect()
    }

    /// Marks the siblings whose timeout has passed as lost, and returns them with the end of their timeouts.
    pub(crate) fn expire(&mut self, now: Instant, options: &Options) -> Vec<(InstanceId, Instant)> {
        let mut lost = Vec::new();
        for sibling in self.siblings.values_mut() {
            let Some(expired_at) = sibling.last_sent_at.map(|at| at + options.sibling_timeout) else {
                continue;
            };
            if expired_at <= now {
                lost.push((sibling.info.id.clone(), expired_at));
                sibling.last_sent_at = None;
            }
        }
        lost
    }
}
