use serde::{Deserialize, Serialize};

use crate::{Configuration, Index, Term};

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// No content. A new leader commits earlier terms' entries with it.
    Empty,
    /// A command of the application.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A configuration. It takes effect when it is appended, not when it is committed.
    Configuration(Configuration),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size of an entry's metadata, in bytes.
    const OVERHEAD_BYTES: usize = 32;

    /// Returns the approximate size of the entry in a message, in bytes.
    pub(crate) fn approximate_size(&self) -> usize {
        match &self.payload {
            Payload::Command(command) => Self::OVERHEAD_BYTES + command.len(),
            Payload::Empty | Payload::Configuration(_) => Self::OVERHEAD_BYTES,
        }
    }
}
