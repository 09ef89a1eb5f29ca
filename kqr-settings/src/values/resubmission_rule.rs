use std::{fmt, str::FromStr};

use kqr_types::ParseError;

/// How the home data centre of a submission's key is determined for a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResubmissionRule {
    /// The home data centre is derived from the key alone.
    #[default]
    Unmarked,
    /// The caller numbers its submissions of a key, and the data centre where the first one arrives becomes
    /// the home.
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
