use std::fmt;

use serde::{Deserialize, Serialize};

use super::{ChangeId, OperatorName, Version};
use crate::tree::{Digest, Problems, SettingPath};

/// Answer to a command. The same change id gets the same answer for as long as it is retained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The change is accepted.
    Accepted {
        /// Version that it made.
        version: Version,
        /// Digest of that version.
        digest: Digest,
    },
    /// The change is refused, and nothing was changed.
    Refused(Refusal),
}

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// A change that was accepted after the base touches the same nodes.
    #[serde(rename = "beaten")]
    Conflict {
        /// Version that beat the change.
        by: Version,
        /// Name of the change that made it.
        change: ChangeId,
        /// Who asked for that change.
        operator: OperatorName,
        /// Path that both changes touch.
        path: SettingPath,
    },
    /// The tree would not be valid.
    Invalid(Problems),
    /// The base, or the version to go back to, is no longer retained.
    TooOld {
        /// Oldest version that is retained.
        oldest: Version,
    },
    /// The base, or the version to go back to, does not exist.
    NotYet {
        /// Highest version.
        highest: Version,
    },
    /// The change has no edit, or more than the limit.
    EditCount {
        /// Number of values that it would touch.
        given: usize,
        /// Largest number that is allowed.
        most: usize,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict {
                by,
                change,
                operator,
                path,
            } => write!(
                f,
                "beaten by version {by} (change {change} of {operator}) at {path}"
            ),
            Self::Invalid(problems) => problems.fmt(f),
            Self::TooOld { oldest } => write!(f, "the oldest retained version is {oldest}"),
            Self::NotYet { highest } => write!(f, "the highest version is {highest}"),
            Self::EditCount { given, most } => write!(f, "{given} edits given; allowed: 1 to {most}"),
        }
    }
}
