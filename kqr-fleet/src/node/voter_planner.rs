use std::{collections::BTreeMap, time::Duration};

use kqr_agreement::{Configuration, VoterChange, VoterId};
use kqr_types::{InstanceId, Instant};

/// Time after which a join request that was not repeated is dropped. Several times the interval of
/// repetitions.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Plans the changes of voters and learners of the log at the leader.
#[derive(Clone, Debug, Default)]
pub(super) struct VoterPlanner {
    joining: BTreeMap<InstanceId, (VoterId, Instant)>,
    last_messages: BTreeMap<VoterId, Instant>,
}

impl VoterPlanner {
    /// Records a join request. A request of an earlier incarnation of the storage is outdated and ignored.
    pub(super) fn record_join(&mut self, now: Instant, voter: VoterId, configuration: &Configuration) {
        let mut members = configuration.members();
        if members.any(|member| member.instance == voter.instance && member.storage > voter.storage) {
            return;
        }
        self.joining.insert(voter.instance.clone(), (voter, now));
    }

    /// Records that a message of a member arrived.
    pub(super) fn record_message(&mut self, now: Instant, voter: &VoterId) {
        self.last_messages.insert(voter.clone(), now);
    }

    /// Resets the time of the last message of each member, so that a new leader waits for a full timeout.
    pub(super) fn reset(&mut self, now: Instant, configuration: &Configuration) {
        self.last_messages.clear();
        for voter in configuration.members() {
            self.last_messages.insert(voter.clone(), now);
        }
    }

    /// Returns the next change of one member, if one is needed.
    pub(super) fn next_change(
        &mut self,
        now: Instant,
        own: &VoterId,
        configuration: &Configuration,
        voter_count: usize,
        timeout: Duration,
    ) -> Option<VoterChange> {
        self.joining
            .retain(|_, (_, requested_at)| now.since(*requested_at) < JOIN_TIMEOUT);
        for (voter, _) in self.joining.values() {
            let former = configuration
                .members()
                .find(|member| member.instance == voter.instance && *member != voter);
            if let Some(former) = former {
                return Some(VoterChange::Remove(former.clone()));
            }
            if !configuration.members().any(|member| member == voter) {
                return Some(VoterChange::AddLearner(voter.clone()));
            }
        }
        let is_live = |voter: &VoterId| {
            voter == own
                || self
                    .last_messages
                    .get(voter)
                    .is_some_and(|last_message| now.since(*last_message) < timeout)
        };
        let learner = configuration.learners.iter().find(|learner| is_live(learner))?;
        if configuration.voters.len() < voter_count {
            return Some(VoterChange::Promote(learner.clone()));
        }
        let lost = configuration.voters.iter().find(|voter| !is_live(voter));
        lost.map(|lost| VoterChange::Remove(lost.clone()))
    }
}
