//! What the leader does at each tick: assigning targets to entries and changing the members of the log.

use kqr_agreement::Input;
use kqr_types::Instant;

use super::FleetNode;
use crate::{
    Command, FleetOutput,
    node::{pending_requests::Purpose, planner::Planner},
};

impl FleetNode {
    /// Assigns targets and changes members, if this instance holds the lease.
    pub(super) fn tick_leader(&mut self, now: Instant, outputs: &mut Vec<FleetOutput>) {
        if !self.holds_lease(now) {
            return;
        }
        self.change_voters(now, outputs);
        if self.requests.is_pending(&Purpose::Plan) || !self.is_view_complete(now) {
            return;
        }
        self.observed.expire(
            now,
            self.options.entry_timeout,
            self.options.target_timeout,
            self.elected_at.unwrap_or(now),
            &self.state,
        );
        self.reachability.update(now, &self.observed, &self.state);
        self.forget_targets(now, outputs);
        let mut planner = Planner::new(&self.observed, &self.state, &self.reachability, &self.options);
        let handovers = planner.handovers(now);
        let moves = if handovers.is_empty() {
            planner.targets_to_move()
        } else {
            Vec::new()
        };
        let updates = planner.updates();
        if self.observed.pending_moves.is_empty() && !moves.is_empty() {
            self.observed.change_count += 1;
            self.observed.pending_moves.extend(moves);
        }
        if handovers.is_empty() {
            if !updates.is_empty() {
                let detail = format!("recording the changed capacity of {} targets", updates.len());
                outputs.push(FleetOutput::Decision { detail });
                self.propose(now, Purpose::Plan, &Command::Update(updates), outputs);
            }
            return;
        }
        for handover in &handovers {
            self.observed.pending_moves.remove(&handover.record.id);
            let (target, entry) = (&handover.record.id, &handover.owner.entry);
            let detail = format!("assigning target {target} to entry {entry}");
            outputs.push(FleetOutput::Decision { detail });
        }
        self.propose(now, Purpose::Plan, &Command::HandOver(handovers), outputs);
    }

    fn forget_targets(&mut self, now: Instant, outputs: &mut Vec<FleetOutput>) {
        let (owned, leaving) = (self.state.targets(), self.state.leaving());
        self.observed
            .to_forget
            .retain(|target| owned.contains_key(target) || leaving.contains_key(target));
        if self.observed.to_forget.is_empty() {
            return;
        }
        let ended: Vec<_> = self.observed.to_forget.iter().cloned().collect();
        let detail = format!("removing {} targets that ended", ended.len());
        outputs.push(FleetOutput::Decision { detail });
        self.propose(now, Purpose::Plan, &Command::Forget(ended), outputs);
    }

    fn change_voters(&mut self, now: Instant, outputs: &mut Vec<FleetOutput>) {
        if self.requests.is_pending(&Purpose::Voters) {
            return;
        }
        let change = self.voters.next_change(now, &self.agreement, &self.options);
        let Some(change) = change else { return };
        let detail = format!("changing the members of the replicated log: {change:?}");
        outputs.push(FleetOutput::Decision { detail });
        let request = self.requests.register(Purpose::Voters);
        self.step_agreement(now, Input::ChangeVoters { request, change }, outputs);
    }
}
