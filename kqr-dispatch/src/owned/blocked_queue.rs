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
mod tests {
    use std::time::Duration;

    use super::*;
    use crate::{OrderId, RunId, TaskId};

    fn order(job: &str, cpu_milli: u64, label: Option<&str>) -> RunOrder {
        let task = TaskId {
            job: job.parse().unwrap(),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        RunOrder {
            id: OrderId(1),
            run: RunId { task, attempt: 1 },
            service: "press".parse().unwrap(),
            needs: Resources {
                cpu_milli,
                memory_mib: 64,
                accelerators: 0,
            },
            estimate: Duration::from_millis(50),
            stated_estimate: Duration::from_millis(50),
            label: label.map(str::to_owned),
            data_rack: None,
            max_per_target: None,
            priority: 0,
            time_left: Duration::from_secs(1),
            on_time_left: Duration::from_millis(140),
            start_left: Duration::from_millis(90),
            has_job_begun: false,
            is_returning: false,
            expected_wait: Duration::ZERO,
            preferred_target: None,
            avoided_targets: Vec::new(),
            failures: 0,
            target_losses: 0,
        }
    }

    /// A pass ended at the 24th order that fitted nowhere, whatever was queued behind it.
    #[test]
    fn a_large_task_hides_only_equal_and_larger_ones() {
        let mut misfits = Misfits::default();
        misfits.record(&order("large", 16_000, None));
        assert!(misfits.covers(&order("equal", 16_000, None)));
        assert!(misfits.covers(&order("larger", 24_000, None)));
        assert!(misfits.covers(&order("larger", 24_000, Some("ssd"))));
        assert!(!misfits.covers(&order("smaller", 11_000, None)));
    }

    #[test]
    fn a_task_for_a_label_hides_none_without_it() {
        let mut misfits = Misfits::default();
        misfits.record(&order("labelled", 8_000, Some("ssd")));
        assert!(misfits.covers(&order("same", 8_000, Some("ssd"))));
        assert!(!misfits.covers(&order("other", 8_000, Some("gpu"))));
        assert!(!misfits.covers(&order("any", 16_000, None)));
    }

    #[test]
    fn a_task_that_avoids_targets_hides_none_of_other_jobs() {
        let mut misfits = Misfits::default();
        let mut avoiding = order("avoiding", 8_000, None);
        avoiding.avoided_targets.push("target-1".parse().unwrap());
        for _ in 0..MAX_SEARCHES_PER_JOB {
            assert!(!misfits.covers(&avoiding));
            misfits.record(&avoiding);
        }
        assert!(misfits.covers(&avoiding));
        let mut other = avoiding.clone();
        other.run.task.job = "other".parse().unwrap();
        assert!(!misfits.covers(&other));
        assert!(!misfits.covers(&order("avoiding", 8_000, None)));
    }

    #[test]
    fn failed_searches_of_a_class_are_bounded() {
        let mut misfits = Misfits::default();
        let mut searches = 0;
        for cpu_milli in (0..10_000).rev() {
            let order = order("shrinking", cpu_milli, None);
            if !misfits.covers(&order) {
                misfits.record(&order);
                searches += 1;
            }
        }
        assert_eq!(searches, MAX_SEARCHES_PER_CLASS);
    }
}
