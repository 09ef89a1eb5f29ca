use std::{fmt, str::FromStr};

use kqr_types::ParseError;
use serde::{Deserialize, Serialize};

/// Number of bits of the logical counter.
const LOGICAL_BITS: u32 = 12;

/// A reading of a hybrid logical clock: wall-clock microseconds since the Unix epoch and a logical counter.
///
/// Messages carry it as text, `MICROSECONDS.COUNT`, so that later events of the receiver are ordered after earlier
/// events of the sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct HybridTime(u64);

impl HybridTime {
    /// Creates the smallest reading at a wall-clock time in microseconds since the Unix epoch.
    pub const fn from_unix_us(unix_us: u64) -> Self {
        Self(unix_us << LOGICAL_BITS)
    }

    /// Creates a reading from its packed form.
    pub(crate) const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the packed form, which has the same order as the readings.
    pub const fn bits(self) -> u64 {
        self.0
    }

    /// Returns the wall-clock part in microseconds since the Unix epoch.
    pub const fn unix_us(self) -> u64 {
        self.0 >> LOGICAL_BITS
    }

    /// Returns the logical counter.
    pub const fn logical(self) -> u64 {
        self.0 & ((1 << LOGICAL_BITS) - 1)
    }
}

impl fmt::Display for HybridTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.unix_us(), self.logical())
    }
}

impl FromStr for HybridTime {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("hybrid time", text, "MICROSECONDS.COUNT");
        let (unix_us, logical) = text.split_once('.').ok_or_else(error)?;
        let unix_us: u64 = unix_us.parse().map_err(|_| error())?;
        let logical: u64 = logical.parse().map_err(|_| error())?;
        if unix_us >> (u64::BITS - LOGICAL_BITS) != 0 || logical >> LOGICAL_BITS != 0 {
            return Err(error());
        }
        Ok(Self(unix_us << LOGICAL_BITS | logical))
    }
}

impl TryFrom<String> for HybridTime {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<HybridTime> for String {
    fn from(time: HybridTime) -> Self {
        time.to_string()
    }
}
