use std::{fmt, str::FromStr};

use kqr_types::ParseError;

/// How a team's submissions find the home of their key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResubmissionRule {
    /// The home data centre follows from the key alone.
    #[default]
    Unmarked,
    /// The caller sends the number of its try, and the first try is homed where it arrives.
    Marked,
}

impl fmt::Display for ResubmissionRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unmarked => "unmarked",
            Self::Marked => "marked",
        })
    }
}

impl FromStr for ResubmissionRule {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "unmarked" => Ok(Self::Unmarked),
            "marked" => Ok(Self::Marked),
            _ => Err(ParseError::new("resubmission rule", text, "unmarked or marked")),
        }
    }
}
