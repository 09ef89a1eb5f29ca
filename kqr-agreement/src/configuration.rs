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
    /// Former voters while some of them are being replaced, else empty. Elections and commits then need a majority of them
    /// as well. Stored by [`Payload::Joint`](crate::Payload::Joint).
    #[serde(skip)]
    pub outgoing: BTreeSet<VoterId>,
}

/// A change of the members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VoterChange {
    /// Adds a learner.
    AddLearner(VoterId),
    /// Turns a learner that has caught up into a voter.
    Promote(VoterId),
    /// Removes a voter or learner.
    Remove(VoterId),
    /// Gives the votes of voters to learners that have caught up, in one step: at no time does the log depend on more members
    /// than before.
    Replace {
        /// Voters that are removed.
        voters: BTreeSet<VoterId>,
        /// Learners that are promoted.
        learners: BTreeSet<VoterId>,
    },
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
            outgoing: BTreeSet::new(),
        }
    }

    /// Returns whether voters are being replaced, so that two majorities are needed.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Returns the configuration that follows a joint one.
    #[must_use]
    pub fn without_outgoing(&self) -> Self {
        Self {
            outgoing: BTreeSet::new(),
            ..self.clone()
        }
    }

    /// Returns whether `members` contains a majority of the voters and, in a joint configuration, of the former ones.
    pub fn is_quorum(&self, members: &BTreeSet<VoterId>) -> bool {
        let has_majority =
            |voters: &BTreeSet<VoterId>| voters.intersection(members).count() > voters.len() / 2;
        has_majority(&self.voters) && (!self.is_joint() || has_majority(&self.outgoing))
    }

    /// Returns whether `id` votes.
    pub fn is_voter(&self, id: &VoterId) -> bool {
        self.voters.contains(id) || self.outgoing.contains(id)
    }

    /// Returns all members that vote.
    pub fn all_voters(&self) -> impl Iterator<Item = &VoterId> {
        self.voters.union(&self.outgoing)
    }

    /// Returns all members: those that vote, then learners.
    pub fn members(&self) -> impl Iterator<Item = &VoterId> {
        self.all_voters().chain(&self.learners)
    }

    /// Returns the configuration that results from `change`, or `None` if the change has no effect, names an
    /// unknown member or would leave no voter.
    pub fn with_change(&self, change: &VoterChange) -> Option<Self> {
        let mut next = self.clone();
        let is_changed = match change {
            VoterChange::AddLearner(id) => !self.is_voter(id) && next.learners.insert(id.clone()),
            VoterChange::Promote(id) => next.learners.remove(id) && next.voters.insert(id.clone()),
            VoterChange::Remove(id) => next.learners.remove(id) || next.voters.remove(id),
            VoterChange::Replace { voters, learners } => next.replace(voters, learners),
        };
        (is_changed && !next.voters.is_empty()).then_some(next)
    }

    /// Returns the largest value that a majority has reached, where `reached` gives the value of each voter. A joint
    /// configuration needs both majorities.
    pub(crate) fn quorum_value<Value, Reached>(&self, reached: Reached) -> Option<Value>
    where
        Value: Ord,
        Reached: Fn(&VoterId) -> Value,
    {
        let value = majority_value(&self.voters, &reached)?;
        match majority_value(&self.outgoing, &reached) {
            Some(former) => Some(value.min(former)),
            None => Some(value),
        }
    }

    /// Makes this a joint configuration in which `learners` take the place of `voters`. Returns whether all of them are
    /// members of that kind.
    fn replace(&mut self, voters: &BTreeSet<VoterId>, learners: &BTreeSet<VoterId>) -> bool {
        let is_allowed =
            !learners.is_empty() && voters.is_subset(&self.voters) && learners.is_subset(&self.learners);
        if is_allowed {
            self.outgoing.clone_from(&self.voters);
            self.voters.retain(|voter| !voters.contains(voter));
            self.voters.extend(learners.iter().cloned());
            self.learners.retain(|learner| !learners.contains(learner));
        }
        is_allowed
    }
}

/// Returns the largest value that a majority of `voters` has reached, or `None` without voters.
fn majority_value<Value, Reached>(voters: &BTreeSet<VoterId>, reached: Reached) -> Option<Value>
where
    Value: Ord,
    Reached: Fn(&VoterId) -> Value,
{
    let mut values: Vec<Value> = voters.iter().map(reached).collect();
    values.sort_unstable_by(|left, right| right.cmp(left));
    values.into_iter().nth(voters.len() / 2)
}
