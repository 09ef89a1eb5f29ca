use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Change, Edit, Version};
use crate::tree::SettingPath;

/// The retained changes, oldest first, without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct History {
    changes: VecDeque<Change>,
    edits: usize,
}

impl History {
    /// Adds `change` and drops the oldest ones beyond the limits.
    pub(super) fn push(&mut self, change: Change, max_changes: usize, max_edits: usize) {
        self.edits += change.edits.len();
        self.changes.push_back(change);
        while self.changes.len() > max_changes || self.edits > max_edits {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.edits -= oldest.edits.len();
        }
    }

    /// Returns the oldest version that changes can be made against or rolled back to, if any change is retained.
    pub(super) fn oldest_base(&self) -> Option<Version> {
        let oldest = self.changes.front()?;
        Some(Version(oldest.version.0.saturating_sub(1)))
    }

    /// Returns the changes after `base`, oldest first.
    pub(super) fn since(&self, base: Version) -> impl DoubleEndedIterator<Item = &Change> {
        let start = self.changes.partition_point(|change| change.version <= base);
        self.changes.range(start..)
    }

    /// Returns the edits that lead from the present version back to `to`, one a path.
    pub(super) fn way_back(&self, to: Version) -> Vec<Edit> {
        let mut values: BTreeMap<SettingPath, Option<String>> = BTreeMap::new();
        for change in self.since(to).rev() {
            for edit in change.before.iter().rev() {
                values.insert(edit.path.clone(), edit.value.clone());
            }
        }
        into_edits(values)
    }

    /// Returns the edits that lead from `base` to the present version, one a path.
    pub(super) fn way_forward(&self, base: Version) -> Vec<Edit> {
        let mut values: BTreeMap<SettingPath, Option<String>> = BTreeMap::new();
        for change in self.since(base) {
            for edit in &change.edits {
                values.insert(edit.path.clone(), edit.value.clone());
            }
        }
        into_edits(values)
    }
}

fn into_edits(values: BTreeMap<SettingPath, Option<String>>) -> Vec<Edit> {
    let mut edits = Vec::with_capacity(values.len());
    for (path, value) in values {
        edits.push(Edit { path, value });
    }
    edits
}
