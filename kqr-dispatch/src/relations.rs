//! Which entries exchange loads and heartbeats.
//!
//! With all pairs of owners and entries, the messages of an entry grow with the number of entries, and answer the
//! reports of owners that it never needs. An owner reports to its own data centre, and to a few entries of each other
//! one, so that an entry hears a few owners of each data centre whatever the size of the fleet.

use std::{
    collections::BTreeSet,
    hash::{DefaultHasher, Hash, Hasher},
};

use kqr_types::InstanceId;

/// Number of owners of another data centre that an entry hears: if one is lost, another still offers its capacity.
const FAR_OWNERS: usize = 2;

/// Returns whether the owner `own` reports to the entry `other` of another data centre, if `owners` are all owners of its
/// own data centre. Each entry is assigned to different owners, so that these share the entries.
pub(crate) fn is_assigned(own: &InstanceId, owners: &BTreeSet<InstanceId>, other: &InstanceId) -> bool {
    let rank = |owner: &InstanceId| {
        let mut hasher = DefaultHasher::new();
        (other, owner).hash(&mut hasher);
        hasher.finish()
    };
    let own_rank = rank(own);
    let ahead = owners
        .iter()
        .filter(|owner| *owner != own && rank(owner) < own_rank);
    ahead.count() < FAR_OWNERS
}
