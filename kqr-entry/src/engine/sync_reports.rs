use kqr_types::Epoch;

use super::work::ShardIndex;

/// The epochs in which the shards completed their copies.
#[derive(Debug)]
pub struct SyncReports {
    epochs: Vec<Epoch>,
}

impl SyncReports {
    /// Creates the reports of `shards` shards, none of which is complete.
    pub fn new(shards: usize) -> Self {
        Self {
            epochs: vec![Epoch(0); shards],
        }
    }

    /// Takes in the report of a shard and returns the epoch in which all shards are complete, if there is one.
    pub fn report(&mut self, shard: ShardIndex, epoch: Epoch) -> Option<Epoch> {
        self.epochs[shard.0] = epoch;
        let is_complete = self.epochs.iter().all(|other| *other == epoch);
        is_complete.then_some(epoch)
    }
}
