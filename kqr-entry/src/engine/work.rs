use std::collections::{BTreeSet, VecDeque};

use kqr_jobs::Output;

/// Index of a part of the jobs with a machine of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardIndex(pub usize);

/// Effects that are still to be performed, and shards whose changes were not sent to the other members.
///
/// A submission and its first placements are flushed together, so that they travel in one message.
#[derive(Debug, Default)]
pub struct Work {
    outputs: VecDeque<(ShardIndex, Output)>,
    unflushed: BTreeSet<ShardIndex>,
    /// Whether waiting tasks may find free slots.
    pub is_dispatch_due: bool,
}

impl Work {
    /// Creates work that begins with a look for free slots.
    pub fn with_dispatch() -> Self {
        Self {
            is_dispatch_due: true,
            ..Self::default()
        }
    }

    /// Adds the effects of an input to a shard.
    pub fn add(&mut self, shard: ShardIndex, outputs: Vec<Output>) {
        for output in outputs {
            self.outputs.push_back((shard, output));
        }
    }

    /// Notes that a shard has changes to send.
    pub fn note_change(&mut self, shard: ShardIndex) {
        self.unflushed.insert(shard);
    }

    /// Returns the next effect.
    pub fn next_output(&mut self) -> Option<(ShardIndex, Output)> {
        self.outputs.pop_front()
    }

    /// Returns the next shard whose changes are to be sent.
    pub fn next_unflushed(&mut self) -> Option<ShardIndex> {
        self.unflushed.pop_first()
    }
}
