use std::collections::BTreeSet;

use kqr_agreement::{Configuration, VoterChange, VoterId};
use kqr_types::InstanceId;

/// Returns the next voter change that follows from the identities that were heard lately, or `None`.
///
/// A voter is only ever replaced by a later incarnation of the same instance's storage, one at a time: a majority of
/// the group's voters is a majority of the configured ones at any time. That needs an odd number of them; with an even
/// one no voter is replaced.
pub(crate) fn next_change<'heard, Heard>(
    configuration: &Configuration,
    configured: &BTreeSet<InstanceId>,
    heard: Heard,
) -> Option<VoterChange>
where
    Heard: Iterator<Item = &'heard VoterId>,
{
    for voter in heard {
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
