use std::{collections::BTreeMap, time::Duration};

use kqr_fleet::Resources;
use kqr_types::InstanceId;

use super::run::{Run, RunState};
use crate::{OrderId, RunId, RunOrder};

/// The runs on a target, with totals and an index by order. A decision about the target looks at no single run, since
/// there may be thousands of small ones.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Runs {
    by_id: BTreeMap<RunId, Run>,
    by_order: BTreeMap<(InstanceId, OrderId), Vec<RunId>>,
    totals: Totals,
    /// Time within which the stop of a run that must end is to be confirmed.
    max_unconfirmed_stop: Duration,
}

/// Totals over the runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Totals {
    needs: Resources,
    /// Runs whose start is not answered yet.
    starting: usize,
    /// Runs to which a stop was sent, or is to be sent.
    stopping: usize,
    /// Runs that must end and whose stop is not confirmed.
    unconfirmed: usize,
    /// Runs that must end and whose stop was confirmed too late.
    confirmed_late: usize,
    /// Runs of tasks that may have brought down a target.
    suspects: usize,
}

impl Totals {
    fn add(&mut self, run: &Run, max_unconfirmed_stop: Duration) {
        self.needs += run.needs;
        self.starting += usize::from(run.state == RunState::Starting);
        self.stopping += usize::from(run.state == RunState::Stopping);
        self.unconfirmed += usize::from(run.is_end_unconfirmed());
        self.confirmed_late += usize::from(run.is_confirmed_late(max_unconfirmed_stop));
        self.suspects += usize::from(run.is_suspect);
    }

    fn remove(&mut self, run: &Run, max_unconfirmed_stop: Duration) {
        self.needs -= run.needs;
        self.starting -= usize::from(run.state == RunState::Starting);
        self.stopping -= usize::from(run.state == RunState::Stopping);
        self.unconfirmed -= usize::from(run.is_end_unconfirmed());
        self.confirmed_late -= usize::from(run.is_confirmed_late(max_unconfirmed_stop));
        self.suspects -= usize::from(run.is_suspect);
    }
}

impl Runs {
    pub(super) fn new(max_unconfirmed_stop: Duration) -> Self {
        Self {
            by_id: BTreeMap::new(),
            by_order: BTreeMap::new(),
            totals: Totals::default(),
            max_unconfirmed_stop,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&RunId, &Run)> {
        self.by_id.iter()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Run> {
        self.by_id.values()
    }

    pub(super) fn ids(&self) -> Vec<RunId> {
        self.by_id.keys().cloned().collect()
    }

    pub(super) fn insert(&mut self, id: RunId, run: Run) {
        self.remove(&id);
        if let Some(ordered_by) = &run.ordered_by {
            let runs = self.by_order.entry(ordered_by.clone()).or_default();
            runs.push(id.clone());
        }
        self.totals.add(&run, self.max_unconfirmed_stop);
        self.by_id.insert(id, run);
    }

    pub(super) fn remove(&mut self, id: &RunId) -> Option<Run> {
        let run = self.by_id.remove(id)?;
        self.totals.remove(&run, self.max_unconfirmed_stop);
        if let Some(ordered_by) = &run.ordered_by
            && let Some(runs) = self.by_order.get_mut(ordered_by)
        {
            runs.retain(|run| run != id);
            if runs.is_empty() {
                self.by_order.remove(ordered_by);
            }
        }
        Some(run)
    }

    /// Changes a run, but not by whom it was ordered. Returns `None` if it is not there.
    pub(super) fn update<Change, Outcome>(&mut self, id: &RunId, change: Change) -> Option<Outcome>
    where
        Change: FnOnce(&mut Run) -> Outcome,
    {
        let run = self.by_id.get_mut(id)?;
        self.totals.remove(run, self.max_unconfirmed_stop);
        let outcome = change(run);
        self.totals.add(run, self.max_unconfirmed_stop);
        Some(outcome)
    }

    /// Takes all runs.
    pub(super) fn take(&mut self) -> BTreeMap<RunId, Run> {
        self.by_order.clear();
        self.totals = Totals::default();
        std::mem::take(&mut self.by_id)
    }

    /// Returns the runs of an order, which has more than one only if an earlier incarnation of its coordinator used the same
    /// identifier.
    pub(super) fn of_order(&self, coordinator: &InstanceId, order: OrderId) -> Vec<RunId> {
        let runs = self.by_order.get(&(coordinator.clone(), order));
        runs.cloned().unwrap_or_default()
    }

    /// Returns the runs that `coordinator` has ordered.
    pub(super) fn of_coordinator(&self, coordinator: &InstanceId) -> Vec<RunId> {
        let first = (coordinator.clone(), OrderId::default());
        let own = self.by_order.range(first..);
        let own = own.take_while(|((by, _), _)| by == coordinator);
        own.flat_map(|(_, runs)| runs).cloned().collect()
    }

    /// Records that nobody waits for the runs of `coordinator`.
    pub(super) fn forget_coordinator(&mut self, coordinator: &InstanceId) {
        for id in self.of_coordinator(coordinator) {
            let ordered_by = self.by_id.get_mut(&id).and_then(|run| run.ordered_by.take());
            if let Some(ordered_by) = ordered_by {
                self.by_order.remove(&ordered_by);
            }
        }
    }

    /// Returns the coordinators whose orders run here.
    pub(super) fn coordinators(&self) -> impl Iterator<Item = &InstanceId> {
        distinct_coordinators(&self.by_order)
    }

    /// Returns the total needs.
    pub(super) const fn needs(&self) -> Resources {
        self.totals.needs
    }

    /// Returns the number of runs whose start is not answered yet.
    pub(super) const fn starting(&self) -> usize {
        self.totals.starting
    }

    /// Returns whether there are runs other than those being stopped.
    pub(super) fn has_work(&self) -> bool {
        self.totals.stopping < self.len()
    }

    /// Returns whether there are runs that are being stopped.
    pub(super) const fn has_stopping(&self) -> bool {
        self.totals.stopping > 0
    }

    pub(super) const fn has_suspect(&self) -> bool {
        self.totals.suspects > 0
    }

    /// Returns whether the stop of a run that must end is not confirmed.
    pub(super) const fn has_unconfirmed_end(&self) -> bool {
        self.totals.unconfirmed > 0
    }

    /// Returns whether the stop of a run that must end was confirmed too late.
    pub(super) const fn has_late_confirmation(&self) -> bool {
        self.totals.confirmed_late > 0
    }

    /// Returns whether less than `max` runs belong to the step of `order`.
    pub(super) fn are_fewer_of_step(&self, order: &RunOrder, max: usize) -> bool {
        let mut first = order.run.clone();
        (first.task.index, first.attempt) = (0, 0);
        let mut last = order.run.clone();
        (last.task.index, last.attempt) = (u32::MAX, u32::MAX);
        self.by_id.range(first..=last).take(max).count() < max
    }
}

/// Returns the coordinators of an index by order, each once.
pub(super) fn distinct_coordinators<Value>(
    by_order: &BTreeMap<(InstanceId, OrderId), Value>,
) -> impl Iterator<Item = &InstanceId> {
    let mut last: Option<&InstanceId> = None;
    std::iter::from_fn(move || {
        let next = match last {
            Some(last) => {
                let above = (last.clone(), OrderId(u64::MAX));
                by_order.range(above..).find(|((by, _), _)| by != last)
            }
            None => by_order.iter().next(),
        };
        let ((coordinator, _), _) = next?;
        last = Some(coordinator);
        last
    })
}
