use std::{fmt, str::FromStr};

use kqr_types::ParseError;
use serde::{Deserialize, Serialize};

/// Version of the settings: the number of accepted changes. Version 0 is the empty tree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// Returns the version that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Version {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.parse() {
            Ok(number) => Ok(Self(number)),
            Err(_) => Err(ParseError::new("settings version", text, "a whole number")),
        }
    }
}
