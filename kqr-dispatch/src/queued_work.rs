use serde::{Deserialize, Serialize};

use crate::{RunOrder, load_report::RANKS};

/// Part of the queued work to which an order belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueuedKind {
    /// Served by priority.
    OnTime,
    /// Served after all others.
    Late,
    /// Requires a label.
    Labelled,
}

impl QueuedKind {
    /// Returns the part of an order.
    pub(crate) const fn of(order: &RunOrder, is_late: bool) -> Self {
        match (&order.label, is_late) {
            (Some(_), _) => Self::Labelled,
            (None, true) => Self::Late,
            (None, false) => Self::OnTime,
        }
    }
}

/// Work of the orders that wait at an owner by priority, in core-milliseconds. All lower priorities share the last place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuedWork {
    /// Work of the orders that are served by priority.
    pub on_time: [u64; RANKS],
    /// Work of the orders that can't be on time any more, which are served after all others.
    pub late: [u64; RANKS],
    /// Work of the orders that require a label, late or not. It may wait for a few targets while others are free, so it
    /// does not count as ahead of an order without a label.
    pub labelled: [u64; RANKS],
}

impl QueuedWork {
    /// Returns all work of at least the priority `rank`, in core-milliseconds.
    pub(crate) fn up_to(&self, rank: usize) -> u64 {
        let late = self.late.iter().take(rank + 1);
        self.ahead(rank, true).saturating_add(sum(late))
    }

    /// Returns the work ahead of an order of priority `rank` that can be on time.
    pub(crate) fn ahead(&self, rank: usize, has_label: bool) -> u64 {
        let labelled = if has_label { self.labelled.as_slice() } else { &[] };
        let labelled = labelled.iter().take(rank + 1);
        sum(self.on_time.iter().take(rank + 1).chain(labelled))
    }

    /// Returns the additional work ahead of an order of priority `rank` that can't be on time.
    pub(crate) fn ahead_of_late(&self, rank: usize) -> u64 {
        let lower = self.on_time.iter().skip(rank + 1);
        sum(lower.chain(self.late.iter().take(rank + 1)))
    }

    /// Adds the work of an order.
    pub(crate) fn add(&mut self, kind: QueuedKind, rank: usize, work: u64) {
        if let Some(total) = self.part(kind).get_mut(rank) {
            *total = total.saturating_add(work);
        }
    }

    /// Removes the work of an order.
    pub(crate) fn remove(&mut self, kind: QueuedKind, rank: usize, work: u64) {
        if let Some(total) = self.part(kind).get_mut(rank) {
            *total = total.saturating_sub(work);
        }
    }

    const fn part(&mut self, kind: QueuedKind) -> &mut [u64; RANKS] {
        match kind {
            QueuedKind::OnTime => &mut self.on_time,
            QueuedKind::Late => &mut self.late,
            QueuedKind::Labelled => &mut self.labelled,
        }
    }
}

fn sum<'a, Work>(work: Work) -> u64
where
    Work: Iterator<Item = &'a u64>,
{
    work.copied().fold(0, u64::saturating_add)
}
