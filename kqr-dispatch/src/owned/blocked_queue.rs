//! A queue whose first orders fit on no target, for their label, their size or the targets that they avoid.

use std::collections::BTreeMap;

use kqr_fleet::Resources;
use kqr_types::{JobKey, ServiceName};

use crate::RunOrder;

/// Maximum number of failed searches in one pass for the orders of a service and label. Each of them is for smaller needs
/// than the ones before, in one resource at least.
const MAX_SEARCHES_PER_CLASS: usize = 64;
/// Maximum number of failed searches in one pass for the orders of a job that may not run on some targets.
const MAX_SEARCHES_PER_JOB: u32 = 4;

/// The orders that were found to fit on no target in one pass over the queue. Free capacity only shrinks during a pass,
/// so others with at least the same needs are skipped without a search, and hide no order of another kind.
#[derive(Clone, Debug, Default)]
pub(super) struct Misfits {
    classes: BTreeMap<ServiceName, BTreeMap<Option<String>, Class>>,
}

#[derive(Clone, Debug, Default)]
struct Class {
    /// Needs that fit on no target, none of them above another.
    needs: Vec<Resources>,
    searches: usize,
    /// Failed searches for orders that may not run on some targets, by job.
    restricted: BTreeMap<JobKey, u32>,
}

impl Misfits {
    /// Returns whether a search for a target is known or assumed to fail.
    pub(super) fn covers(&self, order: &RunOrder) -> bool {
        let Some(labels) = self.classes.get(&order.service) else {
            return false;
        };
        let any_target = labels.get(&None);
        if any_target.is_some_and(|class| class.is_too_large(&order.needs)) {
            return true;
        }
        let Some(class) = labels.get(&order.label) else {
            return false;
        };
        let searched = class.restricted.get(&order.run.task.job);
        class.is_too_large(&order.needs)
            || if is_restricted(order) {
                searched.is_some_and(|count| *count >= MAX_SEARCHES_PER_JOB)
            } else {
                class.searches >= MAX_SEARCHES_PER_CLASS
            }
    }

    /// Records that no target can start the order at present.
    pub(super) fn record(&mut self, order: &RunOrder) {
        let labels = self.classes.entry(order.service.clone()).or_default();
        let class = labels.entry(order.label.clone()).or_default();
        if is_restricted(order) {
            *class.restricted.entry(order.run.task.job.clone()).or_default() += 1;
            return;
        }
        class.searches += 1;
        class.needs.retain(|needs| !needs.can_fit(&order.needs));
        class.needs.push(order.needs);
    }
}

impl Class {
    fn is_too_large(&self, needs: &Resources) -> bool {
        self.needs.iter().any(|misfit| needs.can_fit(misfit))
    }
}

/// Returns whether more than the label and the needs decide which targets may run the order.
fn is_restricted(order: &RunOrder) -> bool {
    order.max_per_target.is_some() || order.is_suspect() || !order.avoided_targets.is_empty()
}

#[cfg(test)]
mod tests;
