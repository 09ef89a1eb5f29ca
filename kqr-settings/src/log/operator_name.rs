use std::{fmt, str::FromStr};

use kqr_types::ParseError;
use serde::{Deserialize, Serialize};

/// Longest text, in bytes.
const MAX_BYTES: usize = 100;

/// Name of the person or program that asks for a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct OperatorName(String);

impl OperatorName {
    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for OperatorName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let has_length = (1..=MAX_BYTES).contains(&text.len());
        if !has_length || !text.bytes().all(|b| b.is_ascii_graphic()) {
            let allowed = "1 to 100 visible ASCII characters without space";
            return Err(ParseError::new("operator name", text, allowed));
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for OperatorName {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<OperatorName> for String {
    fn from(name: OperatorName) -> Self {
        name.0
    }
}

impl fmt::Display for OperatorName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
