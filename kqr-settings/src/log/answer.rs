use std::fmt;

use serde::{Deserialize, Serialize};

use super::{ChangeId, OperatorName, Version};
use crate::tree::{Digest, Problems, SettingPath};

/// Answer to a command. As long as the answer is retained, every command with the same change id receives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The change was accepted.
    Accepted {
        /// Version that the change created.
        version: Version,
        /// Digest of that version.
        digest: Digest,
    },
    /// The change was refused and had no effect.
    Refused(Refusal),
}

/// Reason why a change was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// A change that was accepted after the base version conflicts with this one, or the command is exclusive
    /// and any change was accepted after the base.
    #[serde(rename = "beaten")]
    Conflict {
        /// Version that the conflicting change created.
        by: Version,
        /// Id of the conflicting change.
        change: ChangeId,
        /// Operator who requested the conflicting change.
        operator: OperatorName,
        /// Path that both changes affect, or the root if the command is exclusive and no path is shared.
        path: SettingPath,
    },
    /// The resulting tree would be invalid.
    Invalid(Problems),
    /// The base or the rollback version is no longer retained.
    TooOld {
        /// Oldest version that a change can be based on or rolled back to.
        oldest: Version,
    },
    /// The base or the rollback version does not exist yet.
    NotYet {
        /// Highest version that exists.
        highest: Version,
    },
    /// The change affects no values, or more than the limit.
    EditCount {
        /// Number of values that the change would affect.
        given: usize,
        /// Maximum number of values that a change may affect.
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
