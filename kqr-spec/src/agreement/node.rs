use std::sync::Arc;

use kqr_agreement::{DurableState, Index, Machine, VoterId};
use kqr_types::Instant;

/// One member of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Node {
    pub(super) id: VoterId,
    pub(super) machine: Arc<Machine>,
    pub(super) disk: DurableState,
    pub(super) clock: Instant,
    /// Index of the last applied command in this life.
    pub(super) applied: Index,
    /// Commands that were applied, as the application's state.
    pub(super) commands: Vec<u8>,
}
