use std::{fmt, str::FromStr, time::Duration};

use kqr_types::ParseError;

/// A duration in whole milliseconds. Its text ends with a unit, as in `250ms`, `30s`, `5m` or `2h`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeSpan(pub Duration);

/// Units in descending order, each with its length in milliseconds.
const UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1000), ("ms", 1)];

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis() as u64;
        for (unit, unit_ms) in UNITS {
            if millis >= unit_ms && millis.is_multiple_of(unit_ms) {
                return write!(f, "{}{unit}", millis / unit_ms);
            }
        }
        write!(f, "{millis}ms")
    }
}

impl FromStr for TimeSpan {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("time", text, "a whole number with ms, s, m or h, such as 250ms");
        let unit_start = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
        let (number, unit) = text.split_at(unit_start);
        let number: u64 = number.parse().map_err(|_| error())?;
        for (name, unit_ms) in UNITS {
            if unit == name {
                let millis = number.checked_mul(unit_ms).ok_or_else(error)?;
                return Ok(Self(Duration::from_millis(millis)));
            }
        }
        Err(error())
    }
}
