use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Maximum length of an id in bytes.
const MAX_ID_BYTES: usize = 200;

/// Description of the allowed form, for error messages.
const ALLOWED_FORM: &str = "1 to 200 visible ASCII characters without space, quote or backslash";

fn is_valid(text: &str) -> bool {
    let has_valid_length = (1..=MAX_ID_BYTES).contains(&text.len());
    has_valid_length
        && text
            .bytes()
            .all(|b| b.is_ascii_graphic() && b != b'"' && b != b'\\')
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the text of the id.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                if !is_valid(text) {
                    return Err(ParseError::new($kind, text, ALLOWED_FORM));
                }
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, ParseError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// Key of a submission, chosen by its caller. A resubmission carries the same key.
    JobKey,
    "job key"
);
text_id!(
    /// Name of a service that callers address.
    ServiceName,
    "service name"
);
text_id!(
    /// Name of a team that owns a quota.
    TeamName,
    "team name"
);
text_id!(
    /// Name of a class of tasks with similar run times.
    ClassName,
    "class name"
);
text_id!(
    /// Identity of a target, stable across restarts and renames.
    TargetId,
    "target id"
);
text_id!(
    /// Identity of an instance of the system.
    InstanceId,
    "instance id"
);
text_id!(
    /// Name of a data centre.
    DataCentre,
    "data centre"
);
text_id!(
    /// Name of a region, a group of data centres.
    Region,
    "region"
);
text_id!(
    /// Name of a rack, a group of targets that fail together.
    Rack,
    "rack"
);
