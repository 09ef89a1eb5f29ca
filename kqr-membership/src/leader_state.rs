use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_agreement::{RequestId, VoterId};
use kqr_types::{CellView, Epoch, InstanceId, Instant};

use crate::{Grant, InstanceIncarnation, Renewal};

/// The latest renewal received from an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReceivedRenewal {
    pub(crate) received_at: Instant,
    pub(crate) voter: VoterId,
    pub(crate) renewal: Renewal,
}

/// A lease granted by this leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GrantedLease {
    pub(crate) epoch: Epoch,
    /// Time on this instance's clock by which the lease has certainly ended.
    pub(crate) until: Instant,
}

/// State of a leader of the cell during its term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaderState {
    pub(crate) elected: Instant,
    pub(crate) renewals: BTreeMap<InstanceIncarnation, ReceivedRenewal>,
    pub(crate) granted: BTreeMap<InstanceIncarnation, GrantedLease>,
    pub(crate) suspected: BTreeSet<InstanceIncarnation>,
    /// Grants to be sent with the next message to their holders.
    pub(crate) pending_grants: BTreeMap<InstanceId, Grant>,
    /// Time by which all leases of earlier leaders have ended.
    pub(crate) earlier_leases_end: Instant,
    /// Highest epoch for which leases are granted. No lease of an earlier epoch can be in force.
    pub(crate) open_epoch: Epoch,
    /// View that has been proposed and is not decided yet.
    pub(crate) proposed: Option<(RequestId, CellView)>,
    /// Voter change that has been proposed and is not decided yet.
    pub(crate) voter_change: Option<RequestId>,
    last_request: u64,
}

impl LeaderState {
    pub(crate) fn new(now: Instant, wait: Duration) -> Self {
        Self {
            elected: now,
            renewals: BTreeMap::new(),
            granted: BTreeMap::new(),
            suspected: BTreeSet::new(),
            pending_grants: BTreeMap::new(),
            earlier_leases_end: now + wait,
            open_epoch: Epoch(0),
            proposed: None,
            voter_change: None,
            last_request: 0,
        }
    }

    pub(crate) fn next_request_id(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId(self.last_request)
    }

    /// Clears the proposal or voter change that has ended.
    pub(crate) fn finish_request(&mut self, request: RequestId) {
        if self.voter_change == Some(request) {
            self.voter_change = None;
        }
        if self
            .proposed
            .as_ref()
            .is_some_and(|(proposed, _)| *proposed == request)
        {
            self.proposed = None;
        }
    }

    /// Returns when the last renewal of `identity` in this term arrived, or else when the term began.
    pub(crate) fn last_contact(&self, identity: &InstanceIncarnation) -> Instant {
        self.renewals
            .get(identity)
            .map_or(self.elected, |received| received.received_at)
    }

    /// Records a renewal, which implies that earlier incarnations of the instance have ended.
    pub(crate) fn record_renewal(&mut self, identity: &InstanceIncarnation, received: ReceivedRenewal) {
        if self.is_superseded(identity) {
            return;
        }
        self.renewals.retain(|other, _| !identity.supersedes(other));
        let epoch = received.renewal.epoch;
        let gives_up_lease = received.renewal.is_leaving;
        self.renewals.insert(identity.clone(), received);
        self.granted
            .retain(|holder, granted| holder != identity || (granted.epoch >= epoch && !gives_up_lease));
    }

    pub(crate) fn is_superseded(&self, identity: &InstanceIncarnation) -> bool {
        self.renewals.keys().any(|other| other.supersedes(identity))
    }
}
