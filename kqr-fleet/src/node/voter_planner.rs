use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_agreement::{Body, Configuration, Machine, Message, VoterChange, VoterId};
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
    /// Members that have sent this leader a message.
    answered: BTreeSet<VoterId>,
    /// Voters that are about to end, and when they last said so.
    ending: BTreeMap<VoterId, Instant>,
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
    pub(super) fn record_message(&mut self, now: Instant, voter: &VoterId, message: &Message) {
        self.last_messages.insert(voter.clone(), now);
        self.answered.insert(voter.clone());
        if message.body == Body::Leave {
            self.ending.insert(voter.clone(), now);
        }
    }

    /// Starts the silence of each member now, at a new leader.
    pub(super) fn reset(&mut self, now: Instant, configuration: &Configuration) {
        self.last_messages.clear();
        self.answered.clear();
        self.ending.clear();
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
        let lost = self.lost_voters(now, machine, options);
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
        let is_member = |known: &VoterId| configuration.members().any(|member| member == known);
        self.last_messages.retain(|known, _| is_member(known));
        self.answered.retain(&is_member);
        self.ending.retain(|known, _| is_member(known));
        for member in configuration.members() {
            self.last_messages.entry(member.clone()).or_insert(now);
        }
    }

    /// Returns the number of other voters that a learner may replace.
    pub(super) fn lost_voter_count(&self, now: Instant, machine: &Machine, options: &FleetOptions) -> usize {
        self.lost_voters(now, machine, options).len()
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

    /// Returns the voters that a learner may replace, the one that has been silent for longest first.
    fn lost_voters<'a>(
        &self,
        now: Instant,
        machine: &'a Machine,
        options: &FleetOptions,
    ) -> Vec<&'a VoterId> {
        let voters = machine.configuration().voters.iter();
        let others = voters.filter(|voter| *voter != machine.id());
        let mut lost: Vec<_> = others
            .filter(|voter| self.is_lost(now, voter, options))
            .map(|voter| (self.silence(now, voter), voter))
            .collect();
        lost.sort_by(|left, right| right.cmp(left));
        lost.into_iter().map(|(_, voter)| voter).collect()
    }

    /// Returns whether `voter` is silent for too long, or is about to end. One that has not answered a new leader at all was
    /// silent before, for a time that this leader does not know.
    fn is_lost(&self, now: Instant, voter: &VoterId, options: &FleetOptions) -> bool {
        let timeout = if self.answered.contains(voter) {
            options.voter_timeout
        } else {
            options.answer_timeout
        };
        let ending = self.ending.get(voter);
        let is_ending = ending.is_some_and(|said_at| now.since(*said_at) < options.voter_timeout);
        is_ending || self.silence(now, voter) >= timeout
    }

    /// Returns the time since the last message of `member`.
    fn silence(&self, now: Instant, member: &VoterId) -> Duration {
        let last_message = self.last_messages.get(member);
        last_message.map_or(Duration::MAX, |last_message| now.since(*last_message))
    }
}
