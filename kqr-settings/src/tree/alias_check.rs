//! Checks that each name of a target resolves to one identity.

use std::collections::{BTreeMap, BTreeSet};

use super::{Problem, SettingPath, Tree};

/// Identities (first names) and aliases of all targets.
#[derive(Default)]
struct NameIndex<'tree> {
    identities: BTreeSet<&'tree str>,
    /// Identities of the targets that use each alias.
    aliases: BTreeMap<&'tree str, BTreeSet<&'tree str>>,
    /// Path, target and text of each value that lists aliases.
    alias_lists: Vec<(&'tree SettingPath, &'tree str, &'tree str)>,
}

impl<'tree> NameIndex<'tree> {
    fn of(tree: &'tree Tree) -> Self {
        let mut index = Self::default();
        for (path, value) in tree.iter() {
            let Some((_, rest)) = path.as_str().split_once("/targets/") else {
                continue;
            };
            let Some((target, key)) = rest.split_once('/') else {
                continue;
            };
            index.identities.insert(target);
            if key != "names" {
                continue;
            }
            index.alias_lists.push((path, target, value));
            for alias in value.split_whitespace() {
                index.aliases.entry(alias).or_default().insert(target);
            }
        }
        index
    }

    /// Returns a description of the allowed aliases if `alias` is not allowed for `target`.
    fn describe_allowed(&self, target: &str, alias: &str) -> Option<String> {
        if alias == target {
            return Some("names that differ from the target's first name".to_owned());
        }
        if self.identities.contains(alias) {
            return Some(format!(
                "names that are not the first name of another target; {alias} is one"
            ));
        }
        let mut targets = self.aliases.get(alias).into_iter().flatten();
        let other = targets.find(|candidate| **candidate != target)?;
        Some(format!("names of this target only; {alias} is a name of {other}"))
    }
}

/// Adds a problem for each alias that does not resolve to exactly one target.
pub(super) fn check(tree: &Tree, problems: &mut Vec<Problem>) {
    let index = NameIndex::of(tree);
    for (path, target, value) in &index.alias_lists {
        for alias in value.split_whitespace() {
            let Some(allowed) = index.describe_allowed(target, alias) else {
                continue;
            };
            problems.push(Problem {
                source_location: None,
                path: (*path).clone(),
                value: Some((*value).to_owned()),
                allowed,
                nearest: None,
            });
        }
    }
}
