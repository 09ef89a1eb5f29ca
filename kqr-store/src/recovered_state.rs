use kqr_agreement::DurableState;

use crate::Identity;

/// The incomplete end of a log, dropped when the store was opened. It was never acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// Name of the file.
    pub file: String,
    /// Offset at which the file was truncated, in bytes.
    pub offset: u64,
    /// Number of bytes that were dropped.
    pub bytes: u64,
}

/// State that was recovered from a folder.
#[derive(Debug)]
pub struct RecoveredState {
    /// Identity of the folder.
    pub identity: Identity,
    /// State after all acknowledged records.
    pub durable: DurableState,
    /// Torn tail that was dropped, if any.
    pub torn_tail: Option<TornTail>,
    /// Whether the store was created in an empty folder.
    pub is_new: bool,
}
