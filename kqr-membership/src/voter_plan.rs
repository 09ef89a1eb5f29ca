use std::collections::BTreeSet;

use kqr_agreement::{Configuration, VoterChange, VoterId};
use kqr_types::InstanceId;

/// Returns the next voter change for the identities in `active`, or `None` if none is needed.
///
/// A voter is only ever replaced by a later incarnation of the same instance's storage, one at a time, so
/// that a majority of the group's voters is always a majority of the configured ones. This requires an odd
/// number of configured voters; with an even number, no voter is replaced.
pub(crate) fn next_change<'voter, Active>(
    configuration: &Configuration,
    configured: &BTreeSet<InstanceId>,
    active: Active,
) -> Option<VoterChange>
where
    Active: Iterator<Item = &'voter VoterId>,
{
    for voter in active {
        let change = change_for(configuration, configured, voter);
        if change.is_some() {
            return change;
        }
    }
    None
}

fn change_for(
    configuration: &Configuration,
    configured: &BTreeSet<InstanceId>,
    voter: &VoterId,
) -> Option<VoterChange> {
    if configuration.is_voter(voter) {
        return None;
    }
    let is_other = |other: &&VoterId| other.instance == voter.instance && *other != voter;
    let other_learner = configuration.learners.iter().find(is_other);
    let other_voter = configuration.voters.iter().find(is_other);
    let is_stale = other_learner
        .into_iter()
        .chain(other_voter)
        .any(|other| other.storage > voter.storage);
    if is_stale {
        return None;
    }
    if let Some(old) = other_learner {
        return Some(VoterChange::Remove(old.clone()));
    }
    if !configuration.learners.contains(voter) {
        return Some(VoterChange::AddLearner(voter.clone()));
    }
    if !configured.contains(&voter.instance) {
        return None;
    }
    let Some(old) = other_voter else {
        return Some(VoterChange::Promote(voter.clone()));
    };
    let is_odd = !configured.len().is_multiple_of(2);
    let is_complete = configuration.voters.len() == configured.len();
    (is_complete && is_odd).then(|| VoterChange::Remove(old.clone()))
}
