use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_agreement::{RequestId, VoterId};
use kqr_types::{CellView, Epoch, InstanceId, Instant};

use crate::{Grant, InstanceIncarnation, Renewal};

/// The latest renewal of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Seen {
    pub(crate) heard: Instant,
    pub(crate) voter: VoterId,
    pub(crate) renewal: Renewal,
}

/// A lease that this leader has granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Granted {
    pub(crate) epoch: Epoch,
    /// When it has ended for sure, on the own clock.
    pub(crate) until: Instant,
}

/// What a leader of the cell keeps for its term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Lead {
    pub(crate) elected: Instant,
    pub(crate) seen: BTreeMap<InstanceIncarnation, Seen>,
    pub(crate) granted: BTreeMap<InstanceIncarnation, Granted>,
    pub(crate) suspected: BTreeSet<InstanceIncarnation>,
    /// Leases that go out with the next message to their holders.
    pub(crate) owed: BTreeMap<InstanceId, Grant>,
    /// When all leases of earlier leaders have ended.
    pub(crate) settled: Instant,
    /// Highest epoch whose leases are granted: no lease of an earlier one can be in force.
    pub(crate) open_epoch: Epoch,
    /// The view that is proposed and not decided.
    pub(crate) proposed: Option<(RequestId, CellView)>,
    /// The voter change that is proposed and not decided.
    pub(crate) changing: Option<RequestId>,
    next_request: u64,
}

impl Lead {
    pub(crate) fn new(now: Instant, wait: Duration) -> Self {
        Self {
            elected: now,
            seen: BTreeMap::new(),
            granted: BTreeMap::new(),
            suspected: BTreeSet::new(),
            owed: BTreeMap::new(),
            settled: now + wait,
            open_epoch: Epoch(0),
            proposed: None,
            changing: None,
            next_request: 0,
        }
    }

    pub(crate) fn next_request(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request)
    }

    /// Notes that a proposal or voter change has ended.
    pub(crate) fn finish(&mut self, request: RequestId) {
        if self.changing == Some(request) {
            self.changing = None;
        }
        if self
            .proposed
            .as_ref()
            .is_some_and(|(proposed, _)| *proposed == request)
        {
            self.proposed = None;
        }
    }

    /// Returns when `life` was last heard in this term, or when the term began.
    pub(crate) fn heard(&self, life: &InstanceIncarnation) -> Instant {
        self.seen.get(life).map_or(self.elected, |seen| seen.heard)
    }

    /// Notes a renewal; earlier lives of the instance have ended.
    pub(crate) fn note(&mut self, life: &InstanceIncarnation, seen: Seen) {
        if self.is_superseded(life) {
            return;
        }
        self.seen.retain(|other, _| !life.supersedes(other));
        let epoch = seen.renewal.epoch;
        let gives_up = seen.renewal.is_leaving;
        self.seen.insert(life.clone(), seen);
        self.granted
            .retain(|holder, granted| holder != life || (granted.epoch >= epoch && !gives_up));
    }

    pub(crate) fn is_superseded(&self, life: &InstanceIncarnation) -> bool {
        self.seen.keys().any(|other| other.supersedes(life))
    }
}
