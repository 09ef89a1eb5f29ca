use std::collections::BTreeSet;

use kqr_agreement::{Index, Input, Role, RoleView};
use kqr_types::{Epoch, Instant};

use crate::{
    Body, Cell, CellRecord, InstanceIncarnation, Output, leader_state::LeaderState,
    next_view::recent_renewals, state::CellState, voter_plan::next_change,
};

/// Number of applied log entries after which the log is compacted.
const COMPACTION_INTERVAL_ENTRIES: u64 = 64;

impl Cell {
    /// Passes `input` to the group's agreement protocol and performs its effects.
    pub(crate) fn run_agreement(&mut self, now: Instant, input: Input, outputs: &mut Vec<Output>) {
        let Some(group) = &mut self.group else {
            return;
        };
        let mut effects = Vec::new();
        group.machine.handle(now, input, &mut effects);
        if group.leader().is_some() {
            group.last_led = now;
            group.has_had_leader = true;
        }
        for effect in effects {
            self.perform(now, effect, outputs);
        }
    }

    /// As leader, reports suspicions, changes voters and proposes the next epoch if needed.
    pub(crate) fn run_leader(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let holds_lease = self
            .group
            .as_ref()
            .is_some_and(|group| group.machine.holds_lease(now));
        if self.leader_state.is_none() || !holds_lease {
            return;
        }
        self.report_suspicions(now, outputs);
        self.change_voters(now, outputs);
        self.propose_view(now, outputs);
    }

    /// Completes leaving once an epoch without this instance is in force. A leader also hands over leadership
    /// then.
    pub(crate) fn finish_leaving(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let view = &self.state.view;
        let is_member = view.epoch == Epoch(0) || view.member(&self.options.own).is_some();
        if !self.is_leaving || self.has_left || is_member {
            return;
        }
        if let Some(leader_state) = &self.leader_state {
            if leader_state.open_epoch < view.epoch {
                return;
            }
            self.run_agreement(now, Input::HandOver, outputs);
        }
        self.has_left = true;
        outputs.push(Output::Left);
    }

    fn perform(&mut self, now: Instant, effect: kqr_agreement::Output, outputs: &mut Vec<Output>) {
        use kqr_agreement::Output as Effect;
        match effect {
            Effect::Send { to, message } => self.send(&to.instance, Body::Agreement(message)),
            Effect::Persist(record) => outputs.push(Output::Persist(CellRecord::Agreement(record))),
            Effect::Apply { index, command, .. } => {
                self.install(now, &command, outputs);
                self.compact(now, index, outputs);
            }
            Effect::Restore { snapshot, .. } => self.install(now, &snapshot, outputs),
            Effect::Proposed { request, .. } => {
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.finish_request(request);
                }
            }
            Effect::RoleChanged(view) => self.change_role(now, &view, outputs),
            Effect::ReadReady { .. } | Effect::ReadFailed { .. } | Effect::VotersChanged { .. } => {}
        }
    }

    fn change_role(&mut self, now: Instant, view: &RoleView, outputs: &mut Vec<Output>) {
        let wait = if self.is_handed_over {
            self.options.lease_wait()
        } else {
            self.options.election_wait()
        };
        self.leader_state = (view.role == Role::Leader).then(|| LeaderState::new(now, wait));
        self.is_handed_over &= view.leader.is_none();
        if view.leader.is_some() {
            self.renew(now, outputs);
        }
    }

    fn install(&mut self, now: Instant, command: &[u8], outputs: &mut Vec<Output>) {
        let Some(state) = CellState::decode(command) else {
            return;
        };
        if state.view.epoch <= self.state.view.epoch {
            return;
        }
        self.highest_epoch = state.view.epoch;
        self.state = state;
        outputs.push(Output::Epoch {
            view: self.state.view.clone(),
            since: self.state.since,
        });
        self.lease.end(now, outputs);
        self.renew(now, outputs);
    }

    fn compact(&mut self, now: Instant, index: Index, outputs: &mut Vec<Output>) {
        let Some(group) = &mut self.group else {
            return;
        };
        if index.0 < group.compacted.0 + COMPACTION_INTERVAL_ENTRIES {
            return;
        }
        group.compacted = index;
        if let Some(snapshot) = self.state.encode() {
            self.run_agreement(now, Input::Compact { index, snapshot }, outputs);
        }
    }

    fn report_suspicions(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let mut suspected = BTreeSet::new();
        for member in &self.state.view.members {
            let identity = InstanceIncarnation::of(member);
            if leader_state.is_unresponsive(now, &self.options, &identity) {
                suspected.insert(identity);
            }
        }
        for identity in suspected.symmetric_difference(&leader_state.suspected) {
            outputs.push(Output::Suspicion {
                member: identity.clone(),
                is_suspected: suspected.contains(identity),
            });
        }
        leader_state.suspected = suspected;
    }

    fn change_voters(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let (Some(group), Some(leader_state)) = (&self.group, &mut self.leader_state) else {
            return;
        };
        if leader_state.voter_change.is_some() {
            return;
        }
        let active = recent_renewals(leader_state, now, &self.options).map(|received| &received.voter);
        let Some(change) = next_change(group.machine.configuration(), &self.options.voters, active) else {
            return;
        };
        let request = leader_state.next_request_id();
        leader_state.voter_change = Some(request);
        self.run_agreement(now, Input::ChangeVoters { request, change }, outputs);
    }

    fn propose_view(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let wall_clock = self.wall_clock(now);
        let (Some(group), Some(leader_state)) = (&self.group, &mut self.leader_state) else {
            return;
        };
        let is_first = self.state.view.epoch == Epoch(0);
        if leader_state.proposed.is_some() || (is_first && now < leader_state.earlier_leases_end) {
            return;
        }
        let Some(mut next) = leader_state.next_state(now, &self.options, &self.state, wall_clock) else {
            return;
        };
        if is_first {
            next.view.epoch = group.founding.first_epoch;
        }
        let Some(command) = next.encode() else {
            return;
        };
        let request = leader_state.next_request_id();
        leader_state.proposed = Some((request, next.view));
        self.run_agreement(now, Input::Propose { request, command }, outputs);
    }
}
