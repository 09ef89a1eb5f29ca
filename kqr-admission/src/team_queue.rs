use std::collections::{BTreeMap, BTreeSet};

use crate::lane::{Item, Lane, Size};

/// Lanes and sizes that found no slot in the present round.
#[derive(Debug, Default)]
pub(crate) struct Blocked {
    pub lanes: BTreeSet<Lane>,
    pub sizes: BTreeSet<Size>,
}

impl Blocked {
    fn contains(&self, lane: &Lane) -> bool {
        self.sizes.contains(&lane.size) || self.lanes.contains(lane)
    }
}

/// The waiting tasks of one team for one service.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    lanes: BTreeMap<Lane, BTreeMap<u64, Item>>,
    /// Expected run time that the team may still use in its turn, in seconds.
    pub deficit: f64,
    short_work: f64,
    long_work: f64,
}

impl TeamQueue {
    /// Adds a task.
    pub fn push(&mut self, lane: Lane, number: u64, item: Item) {
        *self.work_mut(lane.size.is_long) += item.work;
        self.lanes.entry(lane).or_default().insert(number, item);
    }

    /// Removes a task.
    pub fn remove(&mut self, lane: &Lane, number: u64) -> Option<Item> {
        let items = self.lanes.get_mut(lane)?;
        let item = items.remove(&number)?;
        if items.is_empty() {
            self.lanes.remove(lane);
        }
        let work = self.work_mut(lane.size.is_long);
        *work = (*work - item.work).max(0.0);
        Some(item)
    }

    /// Returns the expected run time of the waiting tasks that are long or not, in seconds.
    pub fn work(&self, is_long: bool) -> f64 {
        if is_long { self.long_work } else { self.short_work }
    }

    fn work_mut(&mut self, is_long: bool) -> &mut f64 {
        if is_long {
            &mut self.long_work
        } else {
            &mut self.short_work
        }
    }

    /// Returns the oldest task of a lane that is not blocked.
    pub fn first(&self, blocked: &Blocked) -> Option<(&Lane, u64, &Item)> {
        let mut first: Option<(&Lane, u64, &Item)> = None;
        for (lane, items) in &self.lanes {
            let Some((number, item)) = items.first_key_value() else {
                continue;
            };
            let is_older = first.is_none_or(|(_, other, _)| *number < other);
            if is_older && !blocked.contains(lane) {
                first = Some((lane, *number, item));
            }
        }
        first
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Returns all tasks with their places.
    pub fn iter(&self) -> impl Iterator<Item = (&Lane, u64, &Item)> {
        let of_lane = |(lane, items)| {
            let items: &BTreeMap<u64, Item> = items;
            items.iter().map(move |(number, item)| (lane, *number, item))
        };
        self.lanes.iter().flat_map(of_lane)
    }
}
