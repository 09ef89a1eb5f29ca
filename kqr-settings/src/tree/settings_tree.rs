use std::collections::BTreeMap;

use super::{Digest, SettingPath};
use crate::log::Edit;

/// Settings as a map from paths to the texts of their values, with a digest that is updated incrementally.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    leaves: BTreeMap<SettingPath, String>,
    digest: Digest,
}

impl Tree {
    /// Returns the value at `path`.
    pub fn get(&self, path: &SettingPath) -> Option<&str> {
        self.leaves.get(path).map(String::as_str)
    }

    /// Returns the digest of the whole tree.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.leaves.len()
    }

    /// Returns whether the tree has no values.
    pub fn is_empty(&self) -> bool {
        self.leaves.is_empty()
    }

    /// Returns all values in the order of their paths.
    pub fn iter(&self) -> impl Iterator<Item = (&SettingPath, &str)> {
        self.leaves.iter().map(|(path, value)| (path, value.as_str()))
    }

    /// Returns the values at and below `path`, in the order of their paths.
    pub fn subtree<'tree>(
        &'tree self,
        path: &'tree SettingPath,
    ) -> impl Iterator<Item = (&'tree SettingPath, &'tree str)> {
        self.leaves
            .range(path.clone()..)
            .take_while(|(candidate, _)| candidate.as_str().starts_with(path.as_str()))
            .filter(|(candidate, _)| path.covers(candidate))
            .map(|(path, value)| (path, value.as_str()))
    }

    /// Sets the value at `path` and returns the previous one.
    pub fn set(&mut self, path: SettingPath, value: String) -> Option<String> {
        if let Some(previous) = self.leaves.get(&path) {
            self.digest.remove(&path, previous);
        }
        self.digest.add(&path, &value);
        self.leaves.insert(path, value)
    }

    /// Sets or removes the value at the path of `edit`.
    pub fn edit(&mut self, edit: &Edit) {
        match &edit.value {
            Some(value) => self.set(edit.path.clone(), value.clone()),
            None => self.unset(&edit.path),
        };
    }

    /// Removes the value at `path` and returns it, if there was one.
    pub fn unset(&mut self, path: &SettingPath) -> Option<String> {
        let previous = self.leaves.remove(path)?;
        self.digest.remove(path, &previous);
        Some(previous)
    }
}

impl FromIterator<(SettingPath, String)> for Tree {
    fn from_iter<Leaves>(leaves: Leaves) -> Self
    where
        Leaves: IntoIterator<Item = (SettingPath, String)>,
    {
        let mut tree = Self::default();
        for (path, value) in leaves {
            tree.set(path, value);
        }
        tree
    }
}
