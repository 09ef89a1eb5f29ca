use std::{cmp::Reverse, collections::BinaryHeap};

/// Something that happens at an instant of virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A task arrives at its entry.
    Arrives(usize),
    /// The start of a task arrives at a target.
    StartArrives {
        /// Number of the task.
        task: usize,
        /// Target.
        target: usize,
    },
    /// A task ends at its target.
    Ends {
        /// Number of the task.
        task: usize,
        /// Target.
        target: usize,
    },
    /// The policy learns how a start ended.
    Seen {
        /// Number of the task.
        task: usize,
        /// Target.
        target: usize,
        /// How it ended.
        end: End,
    },
    /// A message of the policy arrives; the number is the policy's own.
    Message(usize),
    /// A timer of the policy.
    Timer(usize),
}

/// How a start ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// The task was completed.
    Completed,
    /// The task was started and failed.
    Failed,
    /// The target had no free slot.
    Refused,
}

/// The events to come, by time and then by order of entry.
#[derive(Debug, Default)]
pub struct Events {
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_number: u64,
}

impl Events {
    /// Adds an event at `at` microseconds.
    pub fn add(&mut self, at: u64, event: Event) {
        self.heap.push(Reverse((at, self.next_number, event)));
        self.next_number += 1;
    }

    /// Removes the next event.
    pub fn pop(&mut self) -> Option<(u64, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
