use kqr_agreement::DurableState;

use crate::Identity;

/// The unfinished end of a log, dropped when it was opened. It was never acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// File.
    pub file: String,
    /// Where the file was cut, in bytes.
    pub offset: u64,
    /// How many bytes were dropped.
    pub bytes: u64,
}

/// What was found in a folder.
#[derive(Debug)]
pub struct RecoveredState {
    /// Identity of the folder.
    pub identity: Identity,
    /// What all acknowledged records add up to.
    pub durable: DurableState,
    /// What was dropped.
    pub torn_tail: Option<TornTail>,
    /// Whether the folder was empty and has been created.
    pub is_new: bool,
}
