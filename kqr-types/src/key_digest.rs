use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::{JobKey, ParseError};

/// A 128-bit digest of a job key. Its text form is valid as a URL path segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(pub u128);

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn of(key: &JobKey) -> Self {
        Self(xxh3_128(key.as_str().as_bytes()))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for KeyDigest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match u128::from_str_radix(text, 16) {
            Ok(value) if text.len() == 32 => Ok(Self(value)),
            _ => Err(ParseError::new("key digest", text, "32 hexadecimal digits")),
        }
    }
}
