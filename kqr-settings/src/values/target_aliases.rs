use std::{fmt, str::FromStr};

use kqr_types::{ParseError, TargetId};

/// The names that a target took after its first one, oldest first. Its text has a space between two names.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetAliases(pub Vec<TargetId>);

impl fmt::Display for TargetAliases {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, name) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str(" ")?;
            }
            name.fmt(f)?;
        }
        Ok(())
    }
}

impl FromStr for TargetAliases {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut names = Vec::new();
        for word in text.split_whitespace() {
            names.push(word.parse()?);
        }
        Ok(Self(names))
    }
}
