use std::{fmt, ops::Add, time::Duration};

use kqr_types::Instant;
use serde::{Deserialize, Serialize};

/// A reading of the monotonic clock of the entry that receives messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReceiverTime(pub Instant);

impl Add<Duration> for ReceiverTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0 + rhs)
    }
}

impl fmt::Display for ReceiverTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
