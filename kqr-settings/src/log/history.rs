use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Change, Edit, Version};
use crate::tree::SettingPath;

/// Retained changes of consecutive versions, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct History {
    changes: VecDeque<Change>,
    /// Number of edits in all retained changes.
    #[serde(rename = "edits")]
    edit_count: usize,
}

impl History {
    /// Appends `change`, and drops the oldest changes while a limit is exceeded.
    pub(super) fn push(&mut self, change: Change, max_changes: usize, max_edits: usize) {
        self.edit_count += change.edits.len();
        self.changes.push_back(change);
        while self.changes.len() > max_changes || self.edit_count > max_edits {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.edit_count -= oldest.edits.len();
        }
    }

    /// Returns the oldest version that a change can be based on or rolled back to, or `None` if no change is
    /// retained.
    pub(super) fn oldest_base(&self) -> Option<Version> {
        let oldest = self.changes.front()?;
        Some(Version(oldest.version.0.saturating_sub(1)))
    }

    /// Returns the retained changes after `base`, oldest first.
    pub(super) fn since(&self, base: Version) -> impl DoubleEndedIterator<Item = &Change> {
        let start = self.changes.partition_point(|change| change.version <= base);
        self.changes.range(start..)
    }

    /// Returns the edits that transform the present version into the older version `to`, one per path.
    pub(super) fn edits_back_to(&self, to: Version) -> Vec<Edit> {
        let mut values: BTreeMap<SettingPath, Option<String>> = BTreeMap::new();
        for change in self.since(to).rev() {
            for edit in change.before.iter().rev() {
                values.insert(edit.path.clone(), edit.value.clone());
            }
        }
        into_edits(values)
    }

    /// Returns the edits that transform version `base` into the present version, one per path.
    pub(super) fn edits_since(&self, base: Version) -> Vec<Edit> {
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
