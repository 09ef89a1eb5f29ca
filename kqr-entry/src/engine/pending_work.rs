use std::collections::{BTreeSet, VecDeque};

use kqr_jobs::Output;

/// Index of a shard: a part of the jobs with its own job machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardIndex(pub usize);

/// Effects that are not performed yet, and shards whose changes are not sent to the other members yet.
///
/// A submission and its first placements are flushed together, so that they travel in one message.
#[derive(Debug, Default)]
pub struct PendingWork {
    outputs: VecDeque<(ShardIndex, Output)>,
    unflushed: BTreeSet<ShardIndex>,
    /// Whether free slots may be available for waiting tasks.
    pub is_dispatch_due: bool,
}

impl PendingWork {
    /// Creates work that starts with a dispatch of waiting tasks to free slots.
    pub fn with_dispatch() -> Self {
        Self {
            is_dispatch_due: true,
            ..Self::default()
        }
    }

    /// Appends the effects that an input caused in a shard.
    pub fn push_outputs(&mut self, shard: ShardIndex, outputs: Vec<Output>) {
        for output in outputs {
            self.outputs.push_back((shard, output));
        }
    }

    /// Marks a shard as having changes to send.
    pub fn mark_unflushed(&mut self, shard: ShardIndex) {
        self.unflushed.insert(shard);
    }

    /// Removes and returns the next effect.
    pub fn pop_output(&mut self) -> Option<(ShardIndex, Output)> {
        self.outputs.pop_front()
    }

    /// Removes and returns the next shard with changes to send.
    pub fn pop_unflushed(&mut self) -> Option<ShardIndex> {
        self.unflushed.pop_first()
    }
}
