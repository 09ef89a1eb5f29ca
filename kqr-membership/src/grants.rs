use kqr_types::{CellView, Epoch, Instant};

use crate::{
    Grant, InstanceIncarnation, Options,
    leader_state::{GrantedLease, LeaderState},
};

impl LeaderState {
    /// Grants a lease to `identity` at `now`, or returns `None` if it may not hold one.
    pub(crate) fn grant_lease(
        &mut self,
        now: Instant,
        options: &Options,
        view: &CellView,
        identity: &InstanceIncarnation,
    ) -> Option<Grant> {
        let renewal = &self.renewals.get(identity)?.renewal;
        let asked = renewal.sent;
        let is_current = renewal.epoch == view.epoch && !renewal.is_leaving;
        let is_kept = match &self.proposed {
            Some((_, proposed)) => has_member(proposed, identity),
            None => true,
        };
        if !is_current || !is_kept || !has_member(view, identity) || !self.open_epoch_if_safe(now, view.epoch)
        {
            return None;
        }
        let until = now + options.lease_wait();
        let epoch = view.epoch;
        self.granted
            .insert(identity.clone(), GrantedLease { epoch, until });
        let lease = options.lease;
        Some(Grant {
            incarnation: identity.incarnation,
            asked,
            epoch,
            lease,
        })
    }

    /// Opens `epoch` for grants if no lease of an earlier epoch can be in force. Returns whether it is open.
    fn open_epoch_if_safe(&mut self, now: Instant, epoch: Epoch) -> bool {
        if self.open_epoch >= epoch {
            return true;
        }
        let is_opened_before = self
            .renewals
            .values()
            .any(|received| received.renewal.leased_epoch >= epoch);
        let is_earlier_ended = self
            .granted
            .values()
            .all(|granted| granted.epoch >= epoch || granted.until <= now);
        let is_wait_over = now >= self.earlier_leases_end;
        if is_opened_before || (is_earlier_ended && is_wait_over) {
            self.open_epoch = epoch;
            return true;
        }
        false
    }

    /// Returns whether a grant to `identity` must be sent before the next heartbeat.
    pub(crate) fn is_lease_urgent(
        &self,
        now: Instant,
        options: &Options,
        view: &CellView,
        identity: &InstanceIncarnation,
    ) -> bool {
        let granted = self.granted.get(identity);
        granted.is_none_or(|granted| granted.epoch < view.epoch || granted.until <= now + options.lease / 2)
    }

    /// Returns whether `identity` certainly holds no lease at `now`.
    pub(crate) fn is_lease_ended(&self, now: Instant, identity: &InstanceIncarnation) -> bool {
        let is_granted_lease_ended = self
            .granted
            .get(identity)
            .is_none_or(|granted| granted.until <= now);
        let has_given_up_lease = self
            .renewals
            .get(identity)
            .is_some_and(|received| received.renewal.is_leaving);
        is_granted_lease_ended && (has_given_up_lease || now >= self.earlier_leases_end)
    }
}

fn has_member(view: &CellView, identity: &InstanceIncarnation) -> bool {
    let member = view.member(&identity.instance);
    member.is_some_and(|member| member.incarnation == identity.incarnation)
}
