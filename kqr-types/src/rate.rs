use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// A rate in events per second. Its text form is a number followed by `/s`, such as `200/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new("rate", text, "a number of at least 0 with /s, such as 200/s");
        let number = text.strip_suffix("/s").ok_or_else(error)?;
        let value: f64 = number.parse().map_err(|_| error())?;
        if !value.is_finite() || value < 0.0 {
            return Err(error());
        }
        Ok(Self(value))
    }
}

impl TryFrom<String> for Rate {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Rate> for String {
    fn from(rate: Rate) -> Self {
        rate.to_string()
    }
}
