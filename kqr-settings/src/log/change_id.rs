use std::{fmt, str::FromStr};

use kqr_types::ParseError;
use serde::{Deserialize, Serialize};

/// Longest text, in bytes.
const MAX_BYTES: usize = 100;

/// Name of a change, chosen by its operator. A change that is sent again carries the same one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ChangeId(String);

impl ChangeId {
    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for ChangeId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let has_length = (1..=MAX_BYTES).contains(&text.len());
        if !has_length || !text.bytes().all(|b| b.is_ascii_graphic()) {
            let allowed = "1 to 100 visible ASCII characters without space";
            return Err(ParseError::new("change id", text, allowed));
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for ChangeId {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<ChangeId> for String {
    fn from(name: ChangeId) -> Self {
        name.0
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
