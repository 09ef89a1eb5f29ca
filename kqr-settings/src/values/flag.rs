use std::{fmt, str::FromStr};

use kqr_types::ParseError;

/// A boolean, written as `true` or `false`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flag(pub bool);

impl fmt::Display for Flag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Flag {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "true" => Ok(Self(true)),
            "false" => Ok(Self(false)),
            _ => Err(ParseError::new("flag", text, "true or false")),
        }
    }
}
