use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Edit, Version};
use crate::tree::{Digest, Tree};

/// Update that brings a copy of the settings to a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Version of the copy after the update.
    pub version: Version,
    /// Digest of the copy after the update.
    pub digest: Digest,
    /// Content of the update.
    pub body: UpdateBody,
}

/// Content of an update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpdateBody {
    /// The edits since a base version, one per path.
    Delta {
        /// Version that the copy must have before the update.
        base: Version,
        /// Edits to apply to the base version.
        edits: Vec<Edit>,
    },
    /// All values of the tree; each edit sets one of them.
    Snapshot(Vec<Edit>),
}

/// Error that is returned when an update can't be applied to a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// The base version of the delta differs from the version of the copy.
    WrongBase {
        /// Version of the copy.
        have: Version,
        /// Base version of the delta.
        base: Version,
    },
    /// The digest of the updated copy differs from the stated one.
    WrongDigest {
        /// Digest of the updated copy.
        computed: Digest,
        /// Digest that the update contains.
        stated: Digest,
    },
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongBase { have, base } => {
                write!(
                    f,
                    "the delta has base version {base}, but the copy has version {have}"
                )
            }
            Self::WrongDigest { computed, stated } => {
                write!(
                    f,
                    "the update states digest {stated}, but the updated copy has digest {computed}"
                )
            }
        }
    }
}

impl std::error::Error for UpdateError {}

impl Update {
    /// Creates a snapshot update of `tree`, which has version `version`.
    pub fn snapshot(version: Version, tree: &Tree) -> Self {
        let mut edits = Vec::with_capacity(tree.len());
        for (path, value) in tree.iter() {
            edits.push(Edit {
                path: path.clone(),
                value: Some(value.to_owned()),
            });
        }
        Self {
            version,
            digest: tree.digest(),
            body: UpdateBody::Snapshot(edits),
        }
    }

    /// Applies the update to `tree`, which has version `version`, and returns the resulting tree.
    ///
    /// # Errors
    ///
    /// Returns an error if a delta has another base version, or if the digest of the result differs from the
    /// stated one.
    pub fn apply(&self, version: Version, tree: &Tree) -> Result<Tree, UpdateError> {
        let (mut next, edits) = match &self.body {
            UpdateBody::Delta { base, .. } if *base != version => {
                return Err(UpdateError::WrongBase {
                    have: version,
                    base: *base,
                });
            }
            UpdateBody::Delta { edits, .. } => (tree.clone(), edits),
            UpdateBody::Snapshot(edits) => (Tree::default(), edits),
        };
        for edit in edits {
            next.edit(edit);
        }
        if next.digest() != self.digest {
            return Err(UpdateError::WrongDigest {
                computed: next.digest(),
                stated: self.digest,
            });
        }
        Ok(next)
    }
}
