use std::collections::BTreeMap;

use super::{Edit, Refusal};
use crate::tree::{Problems, SettingPath, Tree, canonical_value, validate_changed};

/// Edits that were applied to a tree, one per path, with the previous values.
#[derive(Debug)]
pub(super) struct AppliedEdits {
    edits: Vec<Edit>,
    previous: Vec<Edit>,
}

impl AppliedEdits {
    /// Applies `edits` to `tree` in order. On an error the tree is unchanged.
    ///
    /// # Errors
    ///
    /// Returns an error if the number of affected values is not between 1 and `max_edits`, or if the
    /// resulting tree would be invalid.
    pub(super) fn apply(tree: &mut Tree, edits: Vec<Edit>, max_edits: usize) -> Result<Self, Refusal> {
        let mut touched = BTreeMap::new();
        let mut problems = Vec::new();
        for edit in edits {
            let Some(value) = &edit.value else {
                remove_subtree(tree, &edit.path, &mut touched);
                continue;
            };
            match canonical_value(&edit.path, value) {
                Ok(value) => {
                    let previous = tree.set(edit.path.clone(), value);
                    touched.entry(edit.path).or_insert(previous);
                }
                Err(problem) => problems.push(problem),
            }
        }
        let applied = Self::of(tree, touched);
        match applied.validate(tree, problems, max_edits) {
            Ok(()) => Ok(applied),
            Err(refusal) => {
                applied.revert(tree);
                Err(refusal)
            }
        }
    }

    /// Returns the edits, and edits that restore the previous values.
    pub(super) fn into_parts(self) -> (Vec<Edit>, Vec<Edit>) {
        (self.edits, self.previous)
    }

    /// Builds the edits of the `touched` paths, which map to their previous values, from the present state of
    /// `tree`.
    fn of(tree: &Tree, touched: BTreeMap<SettingPath, Option<String>>) -> Self {
        let mut edits = Vec::with_capacity(touched.len());
        let mut previous = Vec::with_capacity(touched.len());
        for (path, value) in touched {
            edits.push(Edit {
                value: tree.get(&path).map(str::to_owned),
                path: path.clone(),
            });
            previous.push(Edit { path, value });
        }
        Self { edits, previous }
    }

    fn validate(&self, tree: &Tree, problems: Vec<crate::Problem>, max_edits: usize) -> Result<(), Refusal> {
        if !problems.is_empty() {
            return Err(Refusal::Invalid(Problems(problems)));
        }
        let given = self.edits.len();
        if given == 0 || given > max_edits {
            return Err(Refusal::EditCount {
                given,
                most: max_edits,
            });
        }
        let touched = self.edits.iter().map(|edit| &edit.path);
        validate_changed(tree, touched).map_err(Refusal::Invalid)
    }

    fn revert(self, tree: &mut Tree) {
        for edit in &self.previous {
            tree.edit(edit);
        }
    }
}

/// Removes the values at and below `path`, and records their previous values in `touched`.
fn remove_subtree(tree: &mut Tree, path: &SettingPath, touched: &mut BTreeMap<SettingPath, Option<String>>) {
    let mut paths = Vec::new();
    for (path, _) in tree.subtree(path) {
        paths.push(path.clone());
    }
    for path in paths {
        let previous = tree.unset(&path);
        touched.entry(path).or_insert(previous);
    }
}
