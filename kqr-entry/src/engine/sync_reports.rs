use kqr_types::Epoch;

use super::pending_work::ShardIndex;

/// The epoch in which each shard last completed its copy of the records that it lacked.
#[derive(Debug)]
pub struct SyncReports {
    epochs: Vec<Epoch>,
}

impl SyncReports {
    /// Creates reports for `shard_count` shards that have copied nothing.
    pub fn new(shard_count: usize) -> Self {
        Self {
            epochs: vec![Epoch(0); shard_count],
        }
    }

    /// Records that a shard has completed its copy in `epoch`. Returns the epoch if all shards have completed
    /// theirs in it.
    pub fn record(&mut self, shard: ShardIndex, epoch: Epoch) -> Option<Epoch> {
        self.epochs[shard.0] = epoch;
        let is_complete = self.epochs.iter().all(|other| *other == epoch);
        is_complete.then_some(epoch)
    }
}
