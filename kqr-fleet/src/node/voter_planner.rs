use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_agreement::{Configuration, Machine, VoterChange, VoterId};
use kqr_types::{InstanceId, Instant};

use super::FleetOptions;

/// Time after which a join request that was not repeated is dropped. Several times the interval of
/// repetitions.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a message after which a member does not count as heard. Several heartbeats.
const CONTACT_WINDOW: Duration = Duration::from_millis(500);

/// Plans the changes of voters and learners of the log at the leader.
#[derive(Clone, Debug, Default)]
pub(super) struct VoterPlanner {
    joining: BTreeMap<InstanceId, (VoterId, Instant)>,
    last_messages: BTreeMap<VoterId, Instant>,
}

impl VoterPlanner {
    /// Records a join request. While a member of the same instance is heard whose storage is later, the request is outdated
    /// and ignored. Without that, the order of the storages does not count: it comes from clocks, which may be set back.
    pub(super) fn record_join(&mut self, now: Instant, voter: VoterId, configuration: &Configuration) {
        let mut members = configuration.members();
        let is_outdated = members.any(|member| {
            let is_later = member.instance == voter.instance && member.storage > voter.storage;
            is_later && self.silence(now, member) < CONTACT_WINDOW
        });
        if !is_outdated {
            self.joining.insert(voter.instance.clone(), (voter, now));
        }
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

    /// Returns the next change of the members, if one is needed.
    pub(super) fn next_change(
        &mut self,
        now: Instant,
        machine: &Machine,
        options: &FleetOptions,
    ) -> Option<VoterChange> {
        let configuration = machine.configuration();
        self.joining
            .retain(|_, (_, requested_at)| now.since(*requested_at) < JOIN_TIMEOUT);
        self.observe_members(now, configuration);
        if configuration.is_joint() {
            return None;
        }
        if let Some(change) = self.next_join(configuration) {
            return Some(change);
        }
        let ready: Vec<&VoterId> = configuration
            .learners
            .iter()
            .filter(|learner| self.silence(now, learner) < CONTACT_WINDOW)
            .filter(|learner| machine.has_caught_up(learner))
            .collect();
        if configuration.voters.len() < options.voter_count
            && let Some(learner) = ready.first()
        {
            return Some(VoterChange::Promote((*learner).clone()));
        }
        let lost = self.lost_voters(now, machine, options.voter_timeout);
        let count = lost.len().min(ready.len());
        if count > 0 {
            return Some(VoterChange::Replace {
                voters: lost.into_iter().take(count).cloned().collect(),
                learners: ready.into_iter().take(count).cloned().collect(),
            });
        }
        let mut learners = configuration.learners.iter();
        let gone = learners.find(|learner| self.silence(now, learner) >= options.learner_timeout);
        gone.map(|gone| VoterChange::Remove(gone.clone()))
    }

    /// Starts the silence of new members now, and forgets those that were removed.
    fn observe_members(&mut self, now: Instant, configuration: &Configuration) {
        self.last_messages
            .retain(|known, _| configuration.members().any(|member| member == known));
        for member in configuration.members() {
            self.last_messages.entry(member.clone()).or_insert(now);
        }
    }

    /// Returns the number of other voters without a message for `timeout`.
    pub(super) fn silent_voter_count(&self, now: Instant, machine: &Machine, timeout: Duration) -> usize {
        self.lost_voters(now, machine, timeout).len()
    }

    /// Returns the change that a join request needs: the removal of the same instance with its former storage, then its
    /// addition as a learner.
    fn next_join(&self, configuration: &Configuration) -> Option<VoterChange> {
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
        None
    }

    /// Returns the voters without a message for `timeout`, the one that has been silent for longest first.
    fn lost_voters<'a>(&self, now: Instant, machine: &'a Machine, timeout: Duration) -> Vec<&'a VoterId> {
        let voters: &BTreeSet<VoterId> = &machine.configuration().voters;
        let others = voters.iter().filter(|voter| *voter != machine.id());
        let mut lost: Vec<_> = others
            .map(|voter| (self.silence(now, voter), voter))
            .filter(|(silence, _)| *silence >= timeout)
            .collect();
        lost.sort_by(|left, right| right.cmp(left));
        lost.into_iter().map(|(_, voter)| voter).collect()
    }

    /// Returns the time since the last message of `member`.
    fn silence(&self, now: Instant, member: &VoterId) -> Duration {
        let last_message = self.last_messages.get(member);
        last_message.map_or(Duration::MAX, |last_message| now.since(*last_message))
    }
}
