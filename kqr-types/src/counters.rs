use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ParseError;

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the value that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                match text.parse() {
                    Ok(value) => Ok(Self(value)),
                    Err(_) => Err(ParseError::new($kind, text, "a whole number")),
                }
            }
        }
    };
}

counter!(
    /// Index of a task within its job, starting at 0.
    TaskIndex,
    u16,
    "task index"
);
counter!(
    /// Number of an attempt, starting at 1.
    Attempt,
    u32,
    "attempt number"
);
counter!(
    /// Incarnation number of an instance or target; it increases with each restart.
    Incarnation,
    u64,
    "incarnation"
);
counter!(
    /// Number of an agreed cell membership.
    Epoch,
    u64,
    "epoch"
);
counter!(
    /// Number of tasks or requests that run concurrently.
    Slots,
    u32,
    "slot count"
);
