use std::{fmt, str::FromStr, time::Duration};

use kqr_types::ParseError;
use serde::{Deserialize, Serialize};

/// A length of time. Its text carries a unit: `250ms`, `10s`, `2min`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TimeText(pub Duration);

impl fmt::Display for TimeText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

impl FromStr for TimeText {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parsed = humantime::parse_duration(text);
        let time = parsed
            .map_err(|_| ParseError::new("time", text, "a number with a unit, such as 250ms or 10s"))?;
        Ok(Self(time))
    }
}

impl TryFrom<String> for TimeText {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<TimeText> for String {
    fn from(time: TimeText) -> Self {
        time.to_string()
    }
}
