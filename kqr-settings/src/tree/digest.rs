use std::{fmt, str::FromStr};

use kqr_types::ParseError;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::SettingPath;

/// Digest of a whole tree: the wrapping sum of the digests of its values, which makes an update of one value
/// O(1).
///
/// The digest detects corruption and divergence. It is not cryptographic and does not protect against
/// forgery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub u128);

impl Digest {
    /// Adds the value at `path`.
    pub(super) fn add(&mut self, path: &SettingPath, value: &str) {
        self.0 = self.0.wrapping_add(leaf_digest(path, value));
    }

    /// Removes the value at `path`.
    pub(super) fn remove(&mut self, path: &SettingPath, value: &str) {
        self.0 = self.0.wrapping_sub(leaf_digest(path, value));
    }
}

/// Returns the digest of one value and its path, separated by a zero byte.
fn leaf_digest(path: &SettingPath, value: &str) -> u128 {
    let mut input = Vec::with_capacity(path.as_str().len() + value.len() + 1);
    input.extend_from_slice(path.as_str().as_bytes());
    input.push(0);
    input.extend_from_slice(value.as_bytes());
    xxh3_128(&input)
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
