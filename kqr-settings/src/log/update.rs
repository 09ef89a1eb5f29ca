use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Edit, Version};
use crate::tree::{Digest, Tree};

/// What brings a copy of the settings to a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Version that the copy has afterwards.
    pub version: Version,
    /// Digest that the copy has afterwards.
    pub digest: Digest,
    /// The way there.
    pub body: UpdateBody,
}

/// The way to a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpdateBody {
    /// The edits since a version, one a path.
    Delta {
        /// Version that the copy must have.
        base: Version,
        /// Edits to apply to it.
        edits: Vec<Edit>,
    },
    /// All values; each edit sets one.
    Snapshot(Vec<Edit>),
}

/// An update that does not fit a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// The delta starts at another version than the copy has.
    WrongBase {
        /// Version of the copy.
        have: Version,
        /// Version that the delta starts at.
        base: Version,
    },
    /// The copy would have another digest than stated.
    WrongDigest {
        /// Digest that the copy would have.
        computed: Digest,
        /// Digest that the update states.
        stated: Digest,
    },
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongBase { have, base } => {
                write!(
                    f,
                    "the delta starts at version {base}, the copy has version {have}"
                )
            }
            Self::WrongDigest { computed, stated } => {
                write!(
                    f,
                    "the update states digest {stated}, the copy would have {computed}"
                )
            }
        }
    }
}

impl std::error::Error for UpdateError {}

impl Update {
    /// Creates the snapshot of `tree`, which has `version`.
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

    /// Returns the tree that the update makes of `tree`, which has `version`.
    ///
    /// # Errors
    ///
    /// Fails if the update starts at another version, or if the digest of the result is not the stated one.
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
