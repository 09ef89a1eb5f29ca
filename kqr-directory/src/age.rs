use std::time::Duration;

use kqr_types::Instant;
use serde::{Deserialize, Serialize};

/// Age of the last known renewal, in whole seconds, as sent to a sibling.
///
/// It is rounded up to more than the actual age. The age thus grows with each entry that forwards it, and
/// entries can't keep a lost target alive by forwarding its age to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Age(u8);

impl Age {
    /// Age from which a renewal is ignored. It is the largest value of 4 bits.
    pub const EXPIRED: Self = Self(15);

    /// Returns the age at `now` of a renewal at `renewed_at`.
    pub fn at(now: Instant, renewed_at: Instant) -> Self {
        let seconds = now.since(renewed_at).as_secs().saturating_add(1);
        Self(seconds.min(u64::from(Self::EXPIRED.0)) as u8)
    }

    /// Returns the age encoded in the lower four bits of `bits`.
    pub const fn from_bits(bits: u8) -> Self {
        Self(bits & 0x0f)
    }

    /// Returns the encoded age, which is below 16.
    pub const fn bits(self) -> u8 {
        self.0
    }

    /// Returns whether a target has expired at this age.
    pub const fn is_expired(self) -> bool {
        self.0 >= Self::EXPIRED.0
    }

    /// Returns the latest possible time of the renewal, for an age received at `now`.
    pub fn renewed_at(self, now: Instant) -> Instant {
        now - Duration::from_secs(u64::from(self.0))
    }
}
