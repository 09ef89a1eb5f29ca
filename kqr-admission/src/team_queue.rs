use std::collections::{BTreeMap, BTreeSet};

use crate::task_shape::{QueuedTask, TaskShape, TaskSize};

/// Task shapes and sizes for which no slot was found in the current round.
#[derive(Debug, Default)]
pub(crate) struct BlockedShapes {
    pub shapes: BTreeSet<TaskShape>,
    pub sizes: BTreeSet<TaskSize>,
}

impl BlockedShapes {
    fn contains(&self, shape: &TaskShape) -> bool {
        self.sizes.contains(&shape.size) || self.shapes.contains(shape)
    }
}

/// The waiting tasks of one team for one service.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    shapes: BTreeMap<TaskShape, BTreeMap<u64, QueuedTask>>,
    /// Expected run time that the team may still place in its turn, in seconds.
    pub deficit: f64,
    short_work: f64,
    long_work: f64,
}

impl TeamQueue {
    /// Adds a task.
    pub fn push(&mut self, shape: TaskShape, number: u64, item: QueuedTask) {
        *self.work_mut(shape.size.is_long) += item.work;
        self.shapes.entry(shape).or_default().insert(number, item);
    }

    /// Removes a task.
    pub fn remove(&mut self, shape: &TaskShape, number: u64) -> Option<QueuedTask> {
        let items = self.shapes.get_mut(shape)?;
        let item = items.remove(&number)?;
        if items.is_empty() {
            self.shapes.remove(shape);
        }
        let work = self.work_mut(shape.size.is_long);
        *work = (*work - item.work).max(0.0);
        Some(item)
    }

    /// Returns the expected run time of the waiting long or short tasks, in seconds.
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

    /// Returns the oldest task whose shape is not blocked.
    pub fn first(&self, blocked: &BlockedShapes) -> Option<(&TaskShape, u64, &QueuedTask)> {
        let mut first: Option<(&TaskShape, u64, &QueuedTask)> = None;
        for (shape, items) in &self.shapes {
            let Some((number, item)) = items.first_key_value() else {
                continue;
            };
            let is_older = first.is_none_or(|(_, other, _)| *number < other);
            if is_older && !blocked.contains(shape) {
                first = Some((shape, *number, item));
            }
        }
        first
    }

    /// Returns whether no task is waiting.
    pub fn is_empty(&self) -> bool {
        self.shapes.is_empty()
    }

    /// Returns all tasks with their positions.
    pub fn iter(&self) -> impl Iterator<Item = (&TaskShape, u64, &QueuedTask)> {
        let of_shape = |(shape, items)| {
            let items: &BTreeMap<u64, QueuedTask> = items;
            items.iter().map(move |(number, item)| (shape, *number, item))
        };
        self.shapes.iter().flat_map(of_shape)
    }
}
