use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the value that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// Returns the value that precedes this one, or zero.
            #[must_use]
            pub const fn previous(self) -> Self {
                Self(self.0.saturating_sub(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter!(
    /// Number of a term; each term has at most one leader.
    Term
);
counter!(
    /// Position of an entry in the log, starting at 1. Zero precedes the first entry.
    Index
);
counter!(
    /// Identifier that the caller assigns to a request to match the answer to it. Unique until the machine
    /// restarts.
    RequestId
);
