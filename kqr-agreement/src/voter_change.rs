use kqr_types::Instant;

use crate::{
    Configuration, Machine, Output, Payload, ProposalResult, Refusal, RequestId, VoterChange, VoterId,
};

impl Machine {
    /// Appends the configuration that results from `change`, or refuses the change. A joint configuration is followed by the
    /// final one as soon as it is committed.
    pub(crate) fn change_voters(
        &mut self,
        now: Instant,
        request: RequestId,
        change: &VoterChange,
        outputs: &mut Vec<Output>,
    ) {
        match self.allowed_change(change) {
            Ok(configuration) => {
                self.propose(now, request, Payload::of_configuration(configuration), outputs);
            }
            Err(refusal) => outputs.push(Output::Proposed {
                request,
                result: ProposalResult::Refused(refusal),
            }),
        }
    }

    fn allowed_change(&self, change: &VoterChange) -> Result<Configuration, Refusal> {
        let Some(leader_state) = &self.leader_state else {
            return Err(Refusal::NotLeader {
                leader: self.leader.clone(),
            });
        };
        let is_committed =
            self.log.configuration_index() <= self.commit && leader_state.first_index <= self.commit;
        if !is_committed {
            return Err(Refusal::ChangePending);
        }
        let next = self.log.configuration().with_change(change);
        let configuration = next.ok_or(Refusal::ChangeInvalid)?;
        let is_behind = match change {
            VoterChange::Promote(learner) => !self.has_caught_up(learner),
            VoterChange::Replace { learners, .. } => {
                learners.iter().any(|learner| !self.has_caught_up(learner))
            }
            VoterChange::AddLearner(_) | VoterChange::Remove(_) => false,
        };
        if is_behind {
            return Err(Refusal::LearnerBehind);
        }
        Ok(configuration)
    }

    /// Returns whether this member leads, `learner` has answered it, and lacks so few entries that it may be promoted.
    pub fn has_caught_up(&self, learner: &VoterId) -> bool {
        let leader_state = self.leader_state.as_ref();
        let progress = leader_state.and_then(|leader_state| leader_state.progress.get(learner));
        let answered = progress.filter(|progress| progress.last_round > 0);
        answered.is_some_and(|progress| {
            progress.match_index.0 + self.options.learner_lag >= self.log.last_index().0
        })
    }
}
