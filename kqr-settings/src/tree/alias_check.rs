//! Each name of a target resolves to one identity.

use std::collections::{BTreeMap, BTreeSet};

use super::{Problem, SettingPath, Tree};

/// First names and later names of all targets.
#[derive(Default)]
struct Index<'tree> {
    first: BTreeSet<&'tree str>,
    later: BTreeMap<&'tree str, BTreeSet<&'tree str>>,
    leaves: Vec<(&'tree SettingPath, &'tree str, &'tree str)>,
}

impl<'tree> Index<'tree> {
    fn of(tree: &'tree Tree) -> Self {
        let mut index = Self::default();
        for (path, value) in tree.iter() {
            let Some((_, below)) = path.as_str().split_once("/targets/") else {
                continue;
            };
            let Some((target, key)) = below.split_once('/') else {
                continue;
            };
            index.first.insert(target);
            if key != "names" {
                continue;
            }
            index.leaves.push((path, target, value));
            for name in value.split_whitespace() {
                index.later.entry(name).or_default().insert(target);
            }
        }
        index
    }

    /// Returns what is allowed instead of `name` as a later name of `target`, if it is not allowed.
    fn allowed_instead(&self, target: &str, name: &str) -> Option<String> {
        if name == target {
            return Some("names that differ from the target's first name".to_owned());
        }
        if self.first.contains(name) {
            return Some(format!(
                "names that are no other target's first name; {name} is one"
            ));
        }
        let mut owners = self.later.get(name).into_iter().flatten();
        let other = owners.find(|owner| **owner != target)?;
        Some(format!("names of this target only; {name} is a name of {other}"))
    }
}

/// Adds a problem for each name that does not resolve to one target.
pub(super) fn check(tree: &Tree, problems: &mut Vec<Problem>) {
    let index = Index::of(tree);
    for (path, target, value) in &index.leaves {
        for name in value.split_whitespace() {
            let Some(allowed) = index.allowed_instead(target, name) else {
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
