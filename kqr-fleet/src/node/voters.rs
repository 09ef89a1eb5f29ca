use std::{collections::BTreeMap, time::Duration};

use kqr_agreement::{Configuration, VoterChange, VoterId};
use kqr_types::{InstanceId, Instant};

/// Time after which a join that was not repeated is dropped: several of its repetitions.
const JOIN_LIFETIME: Duration = Duration::from_secs(3);

/// Which members the log should have, as the leader sees it.
#[derive(Clone, Debug, Default)]
pub(super) struct Voters {
    joining: BTreeMap<InstanceId, (VoterId, Instant)>,
    heard: BTreeMap<VoterId, Instant>,
}

impl Voters {
    /// Notes an instance that asks to be taken in. A request of an earlier storage is late and is ignored.
    pub(super) fn join(&mut self, now: Instant, voter: VoterId, configuration: &Configuration) {
        let mut members = configuration.members();
        if members.any(|member| member.instance == voter.instance && member.storage > voter.storage) {
            return;
        }
        self.joining.insert(voter.instance.clone(), (voter, now));
    }

    /// Notes a message of a member.
    pub(super) fn heard(&mut self, now: Instant, voter: &VoterId) {
        self.heard.insert(voter.clone(), now);
    }

    /// Forgets when members were heard; a new leader gives each of them its full time.
    pub(super) fn reset(&mut self, now: Instant, configuration: &Configuration) {
        self.heard.clear();
        for voter in configuration.members() {
            self.heard.insert(voter.clone(), now);
        }
    }

    /// Returns the next change of one member, if one is due.
    pub(super) fn next_change(
        &mut self,
        now: Instant,
        own: &VoterId,
        configuration: &Configuration,
        wanted: usize,
        timeout: Duration,
    ) -> Option<VoterChange> {
        self.joining
            .retain(|_, (_, asked)| now.since(*asked) < JOIN_LIFETIME);
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
                    .heard
                    .get(voter)
                    .is_some_and(|heard| now.since(*heard) < timeout)
        };
        let learner = configuration.learners.iter().find(|learner| is_live(learner))?;
        if configuration.voters.len() < wanted {
            return Some(VoterChange::Promote(learner.clone()));
        }
        let lost = configuration.voters.iter().find(|voter| !is_live(voter));
        lost.map(|lost| VoterChange::Remove(lost.clone()))
    }
}
