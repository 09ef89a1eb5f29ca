use std::collections::BTreeMap;

use kqr_types::TargetId;

use super::Tree;
use crate::{schema::Location, values::TargetAliases};

/// Index of the names that targets took after their first one.
///
/// The first name of a target is its identity: requests, intents and leases refer to it, and a rename leaves it alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetNames {
    identities: BTreeMap<TargetId, TargetId>,
    names: BTreeMap<TargetId, Vec<TargetId>>,
}

impl TargetNames {
    /// Builds the index of `tree`.
    pub fn of(tree: &Tree) -> Self {
        let mut index = Self::default();
        for (path, value) in tree.iter() {
            if !path.as_str().ends_with("/names") {
                continue;
            }
            let Ok(Location::Value(node, _)) = Location::find(&path.segments()) else {
                continue;
            };
            let (Some(identity), Ok(names)) = (node.target, value.parse::<TargetAliases>()) else {
                continue;
            };
            let known = index.names.entry(identity.clone()).or_default();
            for name in names.0 {
                index.identities.insert(name.clone(), identity.clone());
                if !known.contains(&name) {
                    known.push(name);
                }
            }
        }
        index
    }

    /// Returns the identity of the target that is or was named `name`.
    pub fn identity<'name>(&'name self, name: &'name TargetId) -> &'name TargetId {
        self.identities.get(name).unwrap_or(name)
    }

    /// Returns the present name of the target with `identity`.
    pub fn current_name<'name>(&'name self, identity: &'name TargetId) -> &'name TargetId {
        let names = self.names.get(identity);
        names.and_then(|names| names.last()).unwrap_or(identity)
    }

    /// Returns the names that the target with `identity` took after its first one, oldest first.
    pub fn aliases(&self, identity: &TargetId) -> &[TargetId] {
        self.names.get(identity).map_or(&[], Vec::as_slice)
    }

    /// Returns the renamed targets: the identity and the names taken since, oldest first.
    pub fn renamed_targets(&self) -> impl Iterator<Item = (&TargetId, &[TargetId])> {
        self.names
            .iter()
            .map(|(identity, names)| (identity, names.as_slice()))
    }
}
