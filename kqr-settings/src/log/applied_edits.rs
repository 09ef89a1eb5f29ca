use std::collections::BTreeMap;

use super::{Edit, Refusal};
use crate::tree::{Problems, SettingPath, Tree, canonical_value, validate_changed};

/// Edits that were applied to a tree, one a value, with the values before.
#[derive(Debug)]
pub(super) struct AppliedEdits {
    edits: Vec<Edit>,
    before: Vec<Edit>,
}

impl AppliedEdits {
    /// Applies `edits` in their order, or leaves the tree as it is.
    ///
    /// # Errors
    ///
    /// Fails if the number of touched values is not between 1 and `most`, or if the tree would not be valid.
    pub(super) fn apply(tree: &mut Tree, edits: Vec<Edit>, most: usize) -> Result<Self, Refusal> {
        let mut touched = BTreeMap::new();
        let mut problems = Vec::new();
        for edit in edits {
            let Some(value) = &edit.value else {
                remove(tree, &edit.path, &mut touched);
                continue;
            };
            match canonical_value(&edit.path, value) {
                Ok(value) => {
                    let before = tree.set(edit.path.clone(), value);
                    touched.entry(edit.path).or_insert(before);
                }
                Err(problem) => problems.push(problem),
            }
        }
        let editing = Self::of(tree, touched);
        match editing.check(tree, problems, most) {
            Ok(()) => Ok(editing),
            Err(refusal) => {
                editing.undo(tree);
                Err(refusal)
            }
        }
    }

    /// Returns the edits and the values before.
    pub(super) fn close(self) -> (Vec<Edit>, Vec<Edit>) {
        (self.edits, self.before)
    }

    fn of(tree: &Tree, touched: BTreeMap<SettingPath, Option<String>>) -> Self {
        let mut edits = Vec::with_capacity(touched.len());
        let mut before = Vec::with_capacity(touched.len());
        for (path, value) in touched {
            edits.push(Edit {
                value: tree.get(&path).map(str::to_owned),
                path: path.clone(),
            });
            before.push(Edit { path, value });
        }
        Self { edits, before }
    }

    fn check(&self, tree: &Tree, problems: Vec<crate::Problem>, most: usize) -> Result<(), Refusal> {
        if !problems.is_empty() {
            return Err(Refusal::Invalid(Problems(problems)));
        }
        let given = self.edits.len();
        if given == 0 || given > most {
            return Err(Refusal::EditCount { given, most });
        }
        let touched = self.edits.iter().map(|edit| &edit.path);
        validate_changed(tree, touched).map_err(Refusal::Invalid)
    }

    fn undo(self, tree: &mut Tree) {
        for edit in &self.before {
            tree.edit(edit);
        }
    }
}

fn remove(tree: &mut Tree, path: &SettingPath, touched: &mut BTreeMap<SettingPath, Option<String>>) {
    let mut paths = Vec::new();
    for (path, _) in tree.subtree(path) {
        paths.push(path.clone());
    }
    for path in paths {
        let before = tree.unset(&path);
        touched.entry(path).or_insert(before);
    }
}
