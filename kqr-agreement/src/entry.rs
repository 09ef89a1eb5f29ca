use serde::{Deserialize, Serialize};

use crate::{Configuration, Index, Term};

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader's first entry.
    Empty,
    /// A command of the application.
    Command(Vec<u8>),
    /// A configuration; it takes effect as soon as it is in the log.
    Configuration(Configuration),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Position.
    pub index: Index,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Bytes that an entry takes beside its command, roughly.
    const OVERHEAD_BYTES: usize = 32;

    /// Returns about how many bytes the entry takes in a message.
    pub(crate) fn size(&self) -> usize {
        match &self.payload {
            Payload::Command(command) => Self::OVERHEAD_BYTES + command.len(),
            Payload::Empty | Payload::Configuration(_) => Self::OVERHEAD_BYTES,
        }
    }
}
