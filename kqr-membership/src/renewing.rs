use kqr_agreement::VoterId;
use kqr_types::Instant;

use crate::{Body, Cell, Life, Output, Renewal, group::Group, lead::Seen};

impl Cell {
    /// Asks the leader for the lease, and tells it what it must know of this instance.
    pub(crate) fn renew(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let Some(leader) = self.group.as_ref().and_then(Group::likely_leader) else {
            return;
        };
        self.next_renewal = now + self.options.renewal;
        let renewal = Renewal {
            sent: now,
            incarnation: self.options.incarnation,
            weight: self.options.weight,
            epoch: self.state.view.epoch,
            leased_epoch: self.lease.leased_epoch,
            synced: self.synced,
            is_leaving: self.is_leaving,
        };
        if leader == self.voter {
            let own = self.voter.clone();
            self.note_renewal(now, own, renewal, outputs);
            return;
        }
        self.send(&leader.instance, Body::Renew(renewal));
    }

    /// Notes a renewal as leader and grants what it allows.
    pub(crate) fn note_renewal(
        &mut self,
        now: Instant,
        from: VoterId,
        renewal: Renewal,
        outputs: &mut Vec<Output>,
    ) {
        let Some(lead) = &mut self.lead else {
            self.tell_group(&from.instance);
            return;
        };
        let life = Life {
            instance: from.instance.clone(),
            incarnation: renewal.incarnation,
        };
        let was_open = lead.open_epoch;
        let seen = Seen {
            heard: now,
            voter: from,
            renewal,
        };
        lead.note(&life, seen);
        self.grant(now, &life, outputs);
        let is_opened = self.lead.as_ref().is_some_and(|lead| lead.open_epoch != was_open);
        if is_opened {
            self.grant_all(now, outputs);
        }
    }

    /// Grants leases to all whose latest renewal allows it.
    fn grant_all(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let Some(lead) = &self.lead else {
            return;
        };
        let lives: Vec<Life> = lead.seen.keys().cloned().collect();
        for life in lives {
            self.grant(now, &life, outputs);
        }
    }

    fn grant(&mut self, now: Instant, life: &Life, outputs: &mut Vec<Output>) {
        let may_grant = self.may_grant(now);
        let is_own = *life == self.life();
        let Some(lead) = &mut self.lead else {
            return;
        };
        if !may_grant {
            return;
        }
        let is_urgent = lead.is_lease_urgent(now, &self.options, &self.state.view, life);
        let Some(grant) = lead.grant(now, &self.options, &self.state.view, life) else {
            return;
        };
        if is_own {
            self.lease.take(self.state.view.epoch, &grant, outputs);
            return;
        }
        if is_urgent {
            self.send(&life.instance, Body::Grant(grant));
            return;
        }
        lead.owed.insert(life.instance.clone(), grant);
    }

    fn may_grant(&self, now: Instant) -> bool {
        let window = self.options.grant_window;
        let machine = self.group.as_ref().map(|group| &group.machine);
        machine.is_some_and(|machine| machine.has_quorum_contact_within(now, window))
    }
}
