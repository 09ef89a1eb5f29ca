use std::collections::BTreeMap;

use kqr_types::TargetId;

use super::Tree;
use crate::{schema::Location, values::TargetAliases};

/// Index of the aliases of renamed targets.
///
/// The first name of a target is its identity: requests, intents and leases refer to it, and a rename does
/// not change it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetNames {
    /// Identity of the target of each alias.
    identities: BTreeMap<TargetId, TargetId>,
    /// Aliases of each identity, oldest first.
    aliases: BTreeMap<TargetId, Vec<TargetId>>,
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
            let (Some(identity), Ok(aliases)) = (node.target, value.parse::<TargetAliases>()) else {
                continue;
            };
            let known = index.aliases.entry(identity.clone()).or_default();
            for alias in aliases.0 {
                index.identities.insert(alias.clone(), identity.clone());
                if !known.contains(&alias) {
                    known.push(alias);
                }
            }
        }
        index
    }

    /// Returns the identity of the target with the present or former name `name`, or `name` itself if it is
    /// no alias.
    pub fn identity<'name>(&'name self, name: &'name TargetId) -> &'name TargetId {
        self.identities.get(name).unwrap_or(name)
    }

    /// Returns the present name of the target with `identity`: its latest alias, or the identity itself.
    pub fn current_name<'name>(&'name self, identity: &'name TargetId) -> &'name TargetId {
        let aliases = self.aliases.get(identity);
        aliases.and_then(|aliases| aliases.last()).unwrap_or(identity)
    }

    /// Returns the aliases of the target with `identity`, oldest first.
    pub fn aliases(&self, identity: &TargetId) -> &[TargetId] {
        self.aliases.get(identity).map_or(&[], Vec::as_slice)
    }

    /// Returns the renamed targets: the identity and the aliases, oldest first.
    pub fn renamed_targets(&self) -> impl Iterator<Item = (&TargetId, &[TargetId])> {
        self.aliases
            .iter()
            .map(|(identity, aliases)| (identity, aliases.as_slice()))
    }
}
