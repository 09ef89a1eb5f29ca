use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// A size in bytes. Its text form has a binary unit: `512B`, `64KiB`, `64MiB`, `2GiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(pub u64);

/// Units in descending order, with their size in bytes.
const UNITS: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (unit, bytes) in UNITS {
            if self.0 >= bytes && self.0.is_multiple_of(bytes) {
                return write!(f, "{}{unit}", self.0 / bytes);
            }
        }
        write!(f, "{}B", self.0)
    }
}

impl FromStr for ByteSize {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || {
            ParseError::new(
                "size",
                text,
                "a whole number with B, KiB, MiB or GiB, such as 64MiB",
            )
        };
        for (unit, bytes) in UNITS {
            let Some(number) = text.strip_suffix(unit) else {
                continue;
            };
            let count: u64 = number.parse().map_err(|_| error())?;
            return count.checked_mul(bytes).map(Self).ok_or_else(error);
        }
        Err(error())
    }
}

impl TryFrom<String> for ByteSize {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<ByteSize> for String {
    fn from(size: ByteSize) -> Self {
        size.to_string()
    }
}
