use std::{fmt, str::FromStr, time::Duration};

use kqr_types::ParseError;

/// A length of time. Its text carries a unit: `250ms`, `30s`, `5m`, `2h`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeSpan(pub Duration);

/// Units by descending length, with their milliseconds.
const UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1000), ("ms", 1)];

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis() as u64;
        for (unit, factor) in UNITS {
            if millis >= factor && millis.is_multiple_of(factor) {
                return write!(f, "{}{unit}", millis / factor);
            }
        }
        write!(f, "{millis}ms")
    }
}

impl FromStr for TimeSpan {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("time", text, "a whole number with ms, s, m or h, such as 250ms");
        let digits = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
        let (number, unit) = text.split_at(digits);
        let number: u64 = number.parse().map_err(|_| error())?;
        for (name, factor) in UNITS {
            if unit == name {
                let millis = number.checked_mul(factor).ok_or_else(error)?;
                return Ok(Self(Duration::from_millis(millis)));
            }
        }
        Err(error())
    }
}
