//! Which entries exchange loads and heartbeats.
//!
//! If each owner reported to each entry, the messages of an entry would grow with the fleet. An owner reports to its own
//! data centre, and to some entries of the others, so that an entry hears a few owners elsewhere whatever their number.

use std::{
    collections::BTreeSet,
    hash::{DefaultHasher, Hash, Hasher},
};

use kqr_types::InstanceId;

/// Number of owners of other data centres that an entry hears, as far as these have so many: if one is lost, the others
/// still offer their capacity.
const FAR_OWNERS: usize = 4;

/// Returns whether the owner `own` reports to the entry `other` of another data centre, if `owners` are all owners of its
/// own data centre and there are `data_centres` in all. Each entry is assigned to different owners, so that these share
/// the entries.
pub(crate) fn is_assigned(
    own: &InstanceId,
    owners: &BTreeSet<InstanceId>,
    other: &InstanceId,
    data_centres: usize,
) -> bool {
    let wanted = FAR_OWNERS.div_ceil(data_centres.saturating_sub(1).max(1));
    let rank = |owner: &InstanceId| {
        let mut hasher = DefaultHasher::new();
        (other, owner).hash(&mut hasher);
        hasher.finish()
    };
    let own_rank = rank(own);
    let ahead = owners
        .iter()
        .filter(|owner| *owner != own && rank(owner) < own_rank);
    ahead.count() < wanted
}
