use kqr_agreement::VoterId;
use kqr_types::Instant;

use crate::{Body, Cell, InstanceIncarnation, Output, Renewal, group::Group, leader_state::ReceivedRenewal};

impl Cell {
    /// Requests a lease from the leader and reports the state of this instance to it.
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
            self.receive_renewal(now, own, renewal, outputs);
            return;
        }
        self.send(&leader.instance, Body::Renew(renewal));
    }

    /// Records a renewal as leader and grants the lease that it permits.
    pub(crate) fn receive_renewal(
        &mut self,
        now: Instant,
        from: VoterId,
        renewal: Renewal,
        outputs: &mut Vec<Output>,
    ) {
        let Some(leader_state) = &mut self.leader_state else {
            self.send_founding(&from.instance);
            return;
        };
        let identity = InstanceIncarnation {
            instance: from.instance.clone(),
            incarnation: renewal.incarnation,
        };
        let earlier_open_epoch = leader_state.open_epoch;
        let received = ReceivedRenewal {
            received_at: now,
            voter: from,
            renewal,
        };
        leader_state.record_renewal(&identity, received);
        self.grant_lease(now, &identity, outputs);
        let is_opened = self
            .leader_state
            .as_ref()
            .is_some_and(|leader_state| leader_state.open_epoch != earlier_open_epoch);
        if is_opened {
            self.grant_all_leases(now, outputs);
        }
    }

    /// Grants a lease to each instance whose latest renewal permits it.
    fn grant_all_leases(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let identities: Vec<InstanceIncarnation> = leader_state.renewals.keys().cloned().collect();
        for identity in identities {
            self.grant_lease(now, &identity, outputs);
        }
    }

    fn grant_lease(&mut self, now: Instant, identity: &InstanceIncarnation, outputs: &mut Vec<Output>) {
        let may_grant = self.may_grant(now);
        let is_own = *identity == self.identity();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if !may_grant {
            return;
        }
        let is_urgent = leader_state.is_lease_urgent(now, &self.options, &self.state.view, identity);
        let Some(grant) = leader_state.grant_lease(now, &self.options, &self.state.view, identity) else {
            return;
        };
        if is_own {
            self.lease.accept(self.state.view.epoch, &grant, outputs);
            return;
        }
        if is_urgent {
            self.send(&identity.instance, Body::Grant(grant));
            return;
        }
        leader_state
            .pending_grants
            .insert(identity.instance.clone(), grant);
    }

    fn may_grant(&self, now: Instant) -> bool {
        let window = self.options.grant_window;
        let machine = self.group.as_ref().map(|group| &group.machine);
        machine.is_some_and(|machine| machine.has_quorum_contact_within(now, window))
    }
}
