use kqr_types::{CellView, Epoch, Instant};

use crate::{
    Grant, InstanceIncarnation, Options,
    lead::{Granted, Lead},
};

impl Lead {
    /// Returns the lease that `life` gets at `now`, or `None`.
    pub(crate) fn grant(
        &mut self,
        now: Instant,
        options: &Options,
        view: &CellView,
        life: &InstanceIncarnation,
    ) -> Option<Grant> {
        let renewal = &self.seen.get(life)?.renewal;
        let asked = renewal.sent;
        let is_current = renewal.epoch == view.epoch && !renewal.is_leaving;
        let is_kept = match &self.proposed {
            Some((_, proposed)) => has(proposed, life),
            None => true,
        };
        if !is_current || !is_kept || !has(view, life) || !self.is_open(now, view.epoch) {
            return None;
        }
        let until = now + options.lease_wait();
        let epoch = view.epoch;
        self.granted.insert(life.clone(), Granted { epoch, until });
        let lease = options.lease;
        Some(Grant {
            incarnation: life.incarnation,
            asked,
            epoch,
            lease,
        })
    }

    /// Returns whether no lease of an earlier epoch than `epoch` can be in force.
    fn is_open(&mut self, now: Instant, epoch: Epoch) -> bool {
        if self.open_epoch >= epoch {
            return true;
        }
        let was_open = self.seen.values().any(|seen| seen.renewal.leased_epoch >= epoch);
        let is_earlier_ended = self
            .granted
            .values()
            .all(|granted| granted.epoch >= epoch || granted.until <= now);
        let is_waited = now >= self.settled;
        if was_open || (is_earlier_ended && is_waited) {
            self.open_epoch = epoch;
            return true;
        }
        false
    }

    /// Returns whether a lease for `life` can't wait for the next heartbeat.
    pub(crate) fn is_lease_urgent(
        &self,
        now: Instant,
        options: &Options,
        view: &CellView,
        life: &InstanceIncarnation,
    ) -> bool {
        let granted = self.granted.get(life);
        granted.is_none_or(|granted| granted.epoch < view.epoch || granted.until <= now + options.lease / 2)
    }

    /// Returns whether `life` can hold no lease at `now`.
    pub(crate) fn is_lease_ended(&self, now: Instant, life: &InstanceIncarnation) -> bool {
        let is_own_ended = self.granted.get(life).is_none_or(|granted| granted.until <= now);
        let gave_up = self.seen.get(life).is_some_and(|seen| seen.renewal.is_leaving);
        is_own_ended && (gave_up || now >= self.settled)
    }
}

fn has(view: &CellView, life: &InstanceIncarnation) -> bool {
    let member = view.member(&life.instance);
    member.is_some_and(|member| member.incarnation == life.incarnation)
}
