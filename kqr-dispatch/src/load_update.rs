use std::collections::BTreeSet;

use kqr_fleet::Resources;
use serde::{Deserialize, Serialize};

use crate::{OrderId, QueuedWork, TargetLoad};

/// Load of an owner as sent to one sibling; also serves as a heartbeat.
///
/// Identities, labels and capacities seldom change. They are sent once, and again after a loss of the link. Later
/// updates hold the targets whose load has changed, so that their size does not depend on the number of targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Number of the load to which this update leads.
    pub number: u64,
    /// Loads of targets.
    pub targets: LoadTargets,
    /// Work of waiting orders.
    pub queued: QueuedWork,
    /// Whether the owner is shutting down.
    pub is_leaving: bool,
    /// Last order of the receiver that the load includes.
    pub last_order: OrderId,
}

/// Loads of targets in a [`LoadUpdate`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LoadTargets {
    /// All targets of the owner.
    All(Vec<TargetLoad>),
    /// The targets whose load has changed.
    Changed {
        /// Number of the load that this update continues.
        since: u64,
        /// Changed loads.
        changes: Vec<LoadChange>,
    },
}

/// Changed load of a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadChange {
    /// Position of the target in the last list of all targets.
    pub position: u32,
    /// Free resources.
    pub free: Resources,
    /// Ratio of run time to estimate on the target.
    pub slowness: f32,
    /// Whether the target accepts new runs.
    pub is_open: bool,
}

impl LoadChange {
    /// Applies the change to a list of all targets. A position beyond its end has no effect.
    pub(crate) fn apply(&self, targets: &mut [TargetLoad]) {
        if let Some(target) = targets.get_mut(self.position as usize) {
            target.free = self.free;
            target.slowness = self.slowness;
            target.is_open = self.is_open;
        }
    }
}

impl LoadUpdate {
    /// Returns the update that has the effect of this one followed by `later`.
    pub(crate) fn followed_by(self, later: Self) -> Self {
        let LoadTargets::Changed { since, changes } = later.targets else {
            return later;
        };
        let targets = match self.targets {
            _ if since != self.number => LoadTargets::Changed { since, changes },
            LoadTargets::All(mut targets) => {
                for change in changes {
                    change.apply(&mut targets);
                }
                LoadTargets::All(targets)
            }
            LoadTargets::Changed {
                since,
                changes: mut merged,
            } => {
                let changed: BTreeSet<u32> = changes.iter().map(|change| change.position).collect();
                merged.retain(|earlier| !changed.contains(&earlier.position));
                merged.extend(changes);
                LoadTargets::Changed {
                    since,
                    changes: merged,
                }
            }
        };
        Self { targets, ..later }
    }
}
