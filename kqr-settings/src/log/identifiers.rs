use std::{fmt, str::FromStr};

use kqr_types::ParseError;
use serde::{Deserialize, Serialize};

/// Maximum length of an identifier, in bytes.
const MAX_LENGTH_BYTES: usize = 100;

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let is_length_valid = (1..=MAX_LENGTH_BYTES).contains(&text.len());
                if !is_length_valid || !text.bytes().all(|b| b.is_ascii_graphic()) {
                    let allowed = "1 to 100 visible ASCII characters without space";
                    return Err(ParseError::new($kind, text, allowed));
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

identifier!(
    /// Id of a change, chosen by its operator. Retries of the same change use the same id.
    ChangeId,
    "change id"
);
identifier!(
    /// Name of the person or program that requests a change.
    OperatorName,
    "operator name"
);
