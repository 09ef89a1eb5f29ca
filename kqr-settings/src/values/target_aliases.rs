use std::{fmt, str::FromStr};

use kqr_types::{ParseError, TargetId};

/// Aliases that a target was given after its first name, oldest first. The text separates them by spaces.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetAliases(pub Vec<TargetId>);

impl fmt::Display for TargetAliases {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, alias) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str(" ")?;
            }
            alias.fmt(f)?;
        }
        Ok(())
    }
}

impl FromStr for TargetAliases {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut aliases = Vec::new();
        for alias in text.split_whitespace() {
            aliases.push(alias.parse()?);
        }
        Ok(Self(aliases))
    }
}
