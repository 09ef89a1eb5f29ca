use std::{fmt, str::FromStr};

use kqr_types::ParseError;
use serde::{Deserialize, Serialize};

/// Longest text, in bytes.
const MAX_BYTES: usize = 100;

macro_rules! short_name {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let has_length = (1..=MAX_BYTES).contains(&text.len());
                if !has_length || !text.bytes().all(|b| b.is_ascii_graphic()) {
                    let allowed = "1 to 100 visible ASCII characters without space";
                    return Err(ParseError::new($what, text, allowed));
                }
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, ParseError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

short_name!(
    /// Name of a change, chosen by its operator. A change that is sent again carries the same one.
    ChangeId,
    "change id"
);
short_name!(
    /// Name of the person or program that asks for a change.
    OperatorName,
    "operator name"
);
