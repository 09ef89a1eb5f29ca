use std::{fmt, str::FromStr};

use kqr_types::ParseError;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::SettingPath;

/// Digest of a whole tree: the sum of the digests of its values, so that one changed value costs one step.
///
/// It detects damage and divergence; it is no defence against forgery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub u128);

impl Digest {
    /// Adds one value of the tree.
    pub(super) fn add(&mut self, path: &SettingPath, value: &str) {
        self.0 = self.0.wrapping_add(leaf_digest(path, value));
    }

    /// Removes one value of the tree.
    pub(super) fn remove(&mut self, path: &SettingPath, value: &str) {
        self.0 = self.0.wrapping_sub(leaf_digest(path, value));
    }
}

fn leaf_digest(path: &SettingPath, value: &str) -> u128 {
    let mut text = Vec::with_capacity(path.as_str().len() + value.len() + 1);
    text.extend_from_slice(path.as_str().as_bytes());
    text.push(0);
    text.extend_from_slice(value.as_bytes());
    xxh3_128(&text)
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Digest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match u128::from_str_radix(text, 16) {
            Ok(value) if text.len() == 32 => Ok(Self(value)),
            _ => Err(ParseError::new("settings digest", text, "32 hexadecimal digits")),
        }
    }
}

impl TryFrom<String> for Digest {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}
