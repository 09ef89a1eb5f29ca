use std::collections::BTreeSet;

use kqr_agreement::{Index, Input, Role, RoleView};
use kqr_types::{Epoch, Instant};

use crate::{
    Body, Cell, CellRecord, InstanceIncarnation, Output, lead::Lead, next_view::heard_lately,
    state::CellState, voter_plan::next_change,
};

/// How many entries the log holds before it is compacted.
const COMPACT_AFTER: u64 = 64;

impl Cell {
    /// Gives `input` to the group's log and performs what follows.
    pub(crate) fn run_agreement(&mut self, now: Instant, input: Input, outputs: &mut Vec<Output>) {
        let Some(group) = &mut self.group else {
            return;
        };
        let mut effects = Vec::new();
        group.machine.handle(now, input, &mut effects);
        if group.leader().is_some() {
            group.led = now;
            group.was_led = true;
        }
        for effect in effects {
            self.perform(now, effect, outputs);
        }
    }

    /// As leader, changes voters and proposes the next epoch when that is due.
    pub(crate) fn lead_cell(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let holds_lease = self
            .group
            .as_ref()
            .is_some_and(|group| group.machine.holds_lease(now));
        if self.lead.is_none() || !holds_lease {
            return;
        }
        self.tell_suspicions(now, outputs);
        self.change_voters(now, outputs);
        self.propose_view(now, outputs);
    }

    /// Ends the leave when an epoch without this instance is in force; a leader gives up its lead then.
    pub(crate) fn finish_leaving(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let view = &self.state.view;
        let is_member = view.epoch == Epoch(0) || view.member(&self.options.own).is_some();
        if !self.is_leaving || self.has_left || is_member {
            return;
        }
        if let Some(lead) = &self.lead {
            if lead.open_epoch < view.epoch {
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
                if let Some(lead) = &mut self.lead {
                    lead.finish(request);
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
        self.lead = (view.role == Role::Leader).then(|| Lead::new(now, wait));
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
        if index.0 < group.compacted.0 + COMPACT_AFTER {
            return;
        }
        group.compacted = index;
        if let Some(snapshot) = self.state.encode() {
            self.run_agreement(now, Input::Compact { index, snapshot }, outputs);
        }
    }

    fn tell_suspicions(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let mut suspected = BTreeSet::new();
        for member in &self.state.view.members {
            let life = InstanceIncarnation::of(member);
            if lead.is_silent(now, &self.options, &life) {
                suspected.insert(life);
            }
        }
        for life in suspected.symmetric_difference(&lead.suspected) {
            outputs.push(Output::Suspicion {
                member: life.clone(),
                is_suspected: suspected.contains(life),
            });
        }
        lead.suspected = suspected;
    }

    fn change_voters(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let (Some(group), Some(lead)) = (&self.group, &mut self.lead) else {
            return;
        };
        if lead.changing.is_some() {
            return;
        }
        let heard = heard_lately(lead, now, &self.options).map(|seen| &seen.voter);
        let Some(change) = next_change(group.machine.configuration(), &self.options.voters, heard) else {
            return;
        };
        let request = lead.next_request();
        lead.changing = Some(request);
        self.run_agreement(now, Input::ChangeVoters { request, change }, outputs);
    }

    fn propose_view(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let wall_clock = self.wall_clock(now);
        let (Some(group), Some(lead)) = (&self.group, &mut self.lead) else {
            return;
        };
        let is_first = self.state.view.epoch == Epoch(0);
        if lead.proposed.is_some() || (is_first && now < lead.settled) {
            return;
        }
        let Some(mut next) = lead.next_state(now, &self.options, &self.state, wall_clock) else {
            return;
        };
        if is_first {
            next.view.epoch = group.founding.first_epoch;
        }
        let Some(command) = next.encode() else {
            return;
        };
        let request = lead.next_request();
        lead.proposed = Some((request, next.view));
        self.run_agreement(now, Input::Propose { request, command }, outputs);
    }
}
