use kqr_types::Instant;

use crate::{Index, Machine, Output, Payload, ProposalResult};

impl Machine {
    /// Advances the commit index and the acknowledged round to what a majority has reached, then completes
    /// the proposals and reads that waited for them.
    pub(crate) fn process_acknowledgements(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let last = self.log.last_index();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let progress = &leader_state.progress;
        let configuration = self.log.configuration();
        let id = &self.id;
        let matched = configuration.quorum_value(|voter| {
            if voter == id {
                return last;
            }
            progress
                .get(voter)
                .map_or(Index(0), |progress| progress.match_index)
        });
        let latest = leader_state.rounds.latest;
        let acknowledged = configuration.quorum_value(|voter| {
            if voter == id {
                return latest;
            }
            progress.get(voter).map_or(0, |progress| progress.last_round)
        });
        leader_state.rounds.record_quorum(acknowledged.unwrap_or(0));
        self.advance_commit(now, matched.unwrap_or_default(), outputs);
        self.finish_reads(outputs);
    }

    fn advance_commit(&mut self, now: Instant, index: Index, outputs: &mut Vec<Output>) {
        let is_own_term = self.log.term_at(index) == Some(self.log.term());
        if index <= self.commit || !is_own_term {
            return;
        }
        self.commit = index;
        self.apply_committed(outputs);
        self.finish_proposals(outputs);
        if index == self.log.last_index() {
            self.broadcast(now, outputs);
        }
        if self.log.configuration_index() > self.commit {
            return;
        }
        let configuration = self.log.configuration();
        if configuration.is_joint() {
            let next = configuration.without_outgoing();
            self.append_entry(now, Payload::Configuration(next), outputs);
        } else if !configuration.is_voter(&self.id) {
            self.transfer_leadership(now, outputs);
        }
    }

    fn finish_proposals(&mut self, outputs: &mut Vec<Output>) {
        let commit = self.commit;
        let term = self.log.term();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let pending = leader_state.proposals.split_off(&commit.next());
        let finished = std::mem::replace(&mut leader_state.proposals, pending);
        for (index, request) in finished {
            let result = ProposalResult::Committed { index, term };
            outputs.push(Output::Proposed { request, result });
        }
    }
}
