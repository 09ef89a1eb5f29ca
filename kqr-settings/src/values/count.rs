use std::{fmt, str::FromStr};

use kqr_types::ParseError;

/// A whole number without a unit, such as a number of slots or attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Count(pub u32);

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Count {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.parse() {
            Ok(number) => Ok(Self(number)),
            Err(_) => Err(ParseError::new("count", text, "a whole number without a unit")),
        }
    }
}
