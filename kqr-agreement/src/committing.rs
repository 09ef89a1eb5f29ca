use kqr_types::Instant;

use crate::{Index, Machine, Output, ProposalResult};

impl Machine {
    /// Advances the committed index and the answered round, and puts out what follows from them.
    pub(crate) fn count_answers(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let last = self.log.last_index();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let progress = &leading.progress;
        let configuration = self.log.configuration();
        let own = &self.own;
        let matched = configuration.agreed(|voter| {
            if voter == own {
                return last;
            }
            progress.get(voter).map_or(Index(0), |progress| progress.matched)
        });
        let latest = leading.contact.round;
        let answered = configuration.agreed(|voter| {
            if voter == own {
                return latest;
            }
            progress.get(voter).map_or(0, |progress| progress.round)
        });
        leading.contact.answer(answered.unwrap_or(0));
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
        let is_settled = self.log.configuration_index() <= self.commit;
        if is_settled && !self.log.configuration().is_voter(&self.own) {
            self.hand_over(now, outputs);
        }
    }

    fn finish_proposals(&mut self, outputs: &mut Vec<Output>) {
        let commit = self.commit;
        let term = self.log.term();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let pending = leading.proposals.split_off(&commit.next());
        let finished = std::mem::replace(&mut leading.proposals, pending);
        for (index, request) in finished {
            let result = ProposalResult::Committed { index, term };
            outputs.push(Output::Proposed { request, result });
        }
    }
}
