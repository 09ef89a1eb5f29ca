use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
};

use serde::{Deserialize, Serialize};

use super::{Answer, ChangeId, Version, history::History};
use crate::tree::{Digest, SettingPath};

/// Format version of the snapshots that this program writes and reads.
pub(super) const FORMAT_VERSION: u32 = 1;

/// Serialized content of a log snapshot.
#[derive(Serialize, Deserialize)]
pub(super) struct SnapshotBody {
    pub(super) format: u32,
    pub(super) version: Version,
    pub(super) digest: Digest,
    pub(super) leaves: BTreeMap<SettingPath, String>,
    pub(super) history: History,
    pub(super) answers: VecDeque<(ChangeId, Answer)>,
}

/// Error that is returned when a snapshot can't be restored.
#[derive(Debug)]
pub enum RestoreError {
    /// The bytes can't be decoded as a snapshot.
    Malformed(String),
    /// The format version of the snapshot is not supported.
    Format {
        /// Format version of the snapshot.
        found: u32,
        /// Supported format version.
        supported: u32,
    },
    /// The digest of the values differs from the stated one.
    Digest {
        /// Digest that was computed from the values.
        computed: Digest,
        /// Digest that the snapshot contains.
        stated: Digest,
    },
}

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(cause) => write!(f, "settings snapshot: {cause}"),
            Self::Format { found, supported } => {
                write!(
                    f,
                    "settings snapshot: format {found} is not supported; supported: {supported}"
                )
            }
            Self::Digest { computed, stated } => {
                write!(
                    f,
                    "settings snapshot: computed digest {computed} differs from the stated {stated}"
                )
            }
        }
    }
}

impl std::error::Error for RestoreError {}
