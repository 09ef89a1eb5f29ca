use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
};

use serde::{Deserialize, Serialize};

use super::{Answer, ChangeId, Version, history::History};
use crate::tree::{Digest, SettingPath};

/// Format of the snapshots that are written.
pub(super) const FORMAT: u32 = 1;

/// Content of a snapshot of the log.
#[derive(Serialize, Deserialize)]
pub(super) struct SnapshotBody {
    pub(super) format: u32,
    pub(super) version: Version,
    pub(super) digest: Digest,
    pub(super) leaves: BTreeMap<SettingPath, String>,
    pub(super) history: History,
    pub(super) answers: VecDeque<(ChangeId, Answer)>,
}

/// A snapshot that can't be restored.
#[derive(Debug)]
pub enum RestoreError {
    /// The bytes are no snapshot.
    Malformed(String),
    /// The snapshot has a format that this program does not know.
    Format {
        /// Format of the snapshot.
        found: u32,
        /// Format that the program knows.
        known: u32,
    },
    /// The digest of the values is not the stated one.
    Digest {
        /// Digest of the values.
        computed: Digest,
        /// Digest that the snapshot states.
        stated: Digest,
    },
}

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(cause) => write!(f, "settings snapshot: {cause}"),
            Self::Format { found, known } => {
                write!(f, "settings snapshot: format {found} is unknown; known: {known}")
            }
            Self::Digest { computed, stated } => {
                write!(
                    f,
                    "settings snapshot: digest {computed} is not the stated {stated}"
                )
            }
        }
    }
}

impl std::error::Error for RestoreError {}
