use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::VoterId;

/// The voters and learners of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Configuration {
    /// Members whose majority elects leaders and commits entries.
    pub voters: BTreeSet<VoterId>,
    /// Members that receive the log but neither vote nor count towards a majority.
    pub learners: BTreeSet<VoterId>,
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VoterChange {
    /// Adds a learner.
    AddLearner(VoterId),
    /// Turns a learner that has caught up into a voter.
    Promote(VoterId),
    /// Removes a voter or learner.
    Remove(VoterId),
}

impl Configuration {
    /// Creates a configuration of `voters` without learners.
    pub fn of_voters<Voters>(voters: Voters) -> Self
    where
        Voters: IntoIterator<Item = VoterId>,
    {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `id` votes.
    pub fn is_voter(&self, id: &VoterId) -> bool {
        self.voters.contains(id)
    }

    /// Returns all members: voters, then learners.
    pub fn members(&self) -> impl Iterator<Item = &VoterId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the configuration that results from `change`, or `None` if the change has no effect, names an
    /// unknown member or would leave no voter.
    pub fn with_change(&self, change: &VoterChange) -> Option<Self> {
        let mut next = self.clone();
        let is_changed = match change {
            VoterChange::AddLearner(id) => !self.is_voter(id) && next.learners.insert(id.clone()),
            VoterChange::Promote(id) => next.learners.remove(id) && next.voters.insert(id.clone()),
            VoterChange::Remove(id) => next.learners.remove(id) || next.voters.remove(id),
        };
        (is_changed && !next.voters.is_empty()).then_some(next)
    }

    /// Returns the largest value that a majority of the voters has reached, where `reached` gives the value
    /// of each.
    pub(crate) fn quorum_value<Value, Reached>(&self, mut reached: Reached) -> Option<Value>
    where
        Value: Ord,
        Reached: FnMut(&VoterId) -> Value,
    {
        let mut values: Vec<Value> = self.voters.iter().map(&mut reached).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.into_iter().nth(self.quorum() - 1)
    }
}
